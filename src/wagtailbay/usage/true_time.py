"""Estimate true time from the clocks of several VMs."""

from collections.abc import Callable
from statistics import median

from attrs import define, field

from wagtailbay.membership import FactTable, FleetLayout
from wagtailbay.usage.const import (
    CLOCK_TTL_MS,
    MAX_OFFSET_STEP_S,
    MAX_UNIX_MS,
    OFFSET_CALIBRATION_S,
    STEP_CONFIRMATIONS,
    USAGE_CLOCK_KIND,
)
from wagtailbay.usage.models import ClockReading


@define
class TrueTime:
    """Derives true time from this VM's steady clock and the median of the VMs' times of day.

    Each VM publishes its time of day. Facts travel with the time that they have left, so a receiver
    knows when one was published on its own steady clock, up to the transit time. In a divided
    fleet, a delegate uses the VMs that it hears, and the other VMs use the medians of their two
    delegates and their own clock. A clock that is stepped is outvoted at once on every VM. Of two
    clocks, the one nearer to the present estimate is used.

    Attributes:
        started_s: When the process started, on the steady clock.
        offset_s: Estimated true time minus steady clock.
        pending_steps: Number of estimates in a row that differ much from the present one.
    """

    facts: FactTable
    layout: Callable[[], FleetLayout]
    unix_clock: Callable[[], float]
    started_s: float
    offset_s: float = field(init=False)
    pending_steps: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with this VM's own time of day."""
        self.offset_s = self.unix_clock() - self.started_s

    def unix_s(self, now_s: float) -> float:
        """Return the estimated true time at a time of the steady clock."""
        return now_s + self.offset_s

    def update(self, now_s: float) -> None:
        """Publish this VM's time of day and estimate the offset again."""
        own_s = self.unix_clock()
        offset_s = self._estimate(own_s - now_s, now_s)
        is_calibrated = now_s - self.started_s >= OFFSET_CALIBRATION_S
        if is_calibrated and abs(offset_s - self.offset_s) > MAX_OFFSET_STEP_S:
            self.pending_steps += 1
        else:
            self.pending_steps = 0
        if self.pending_steps in (0, STEP_CONFIRMATIONS):
            self.offset_s, self.pending_steps = offset_s, 0
        is_delegate = self.layout().is_delegate(self.facts.vm)
        true_ms = as_unix_ms(self.unix_s(now_s)) if is_delegate else None
        reading = ClockReading(as_unix_ms(own_s), true_ms)
        self.facts.publish(USAGE_CLOCK_KIND, "", reading, ttl_ms=CLOCK_TTL_MS, now_s=now_s)

    def _estimate(self, own_offset_s: float, now_s: float) -> float:
        layout = self.layout()
        uses_delegates = layout.is_divided and not layout.is_delegate(self.facts.vm)
        offsets_s = [own_offset_s]
        for fact in self.facts.of_kind(USAGE_CLOCK_KIND, now_s):
            if fact.vm == self.facts.vm:
                continue
            reading: ClockReading = fact.value
            unix_ms = reading.true_ms if uses_delegates else reading.unix_ms
            if unix_ms is not None:
                published_s = fact.expires_s - CLOCK_TTL_MS / 1000
                offsets_s.append(unix_ms / 1000 - published_s)
        if len(offsets_s) < 3:
            # The median of two would be their mean, which follows a stepped clock by half.
            return min(offsets_s, key=lambda offset_s: abs(offset_s - self.offset_s))
        return median(offsets_s)


def as_unix_ms(unix_s: float) -> int:
    """Return a time in milliseconds, within the range that facts may have."""
    return min(max(0, round(unix_s * 1000)), MAX_UNIX_MS)
