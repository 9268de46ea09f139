"""Estimate the load of a target and track its latency and failures."""

from collections.abc import Callable

from attrs import define

from wagtailbay.placement.const import (
    EJECT_FAILURE_SHARE,
    EJECT_S,
    FAILURE_WEIGHT,
    LATENCY_MAX_AGE_S,
    LATENCY_WEIGHT,
    MAX_EJECT_S,
    MAX_EJECTED_SHARE,
    MIN_LATENCIES,
    PACE_HALF_LIFE_S,
    REPORT_HALF_LIFE_S,
    SENDER_SHARE_FACTOR,
    SHED_HOLD_S,
)
from wagtailbay.placement.models import LoadReport, TargetOutcome
from wagtailbay.registry import RegisteredTarget

FAILURE_OUTCOMES = (
    TargetOutcome.FAILED,
    TargetOutcome.BROKEN,
    TargetOutcome.UNREACHABLE,
    TargetOutcome.TIMED_OUT,
)


@define
class TargetLoad:
    """Hold this VM's estimate of the load and health of one run of a target.

    Attributes:
        own_in_flight: This VM's requests in flight.
        other_in_flight: Requests of other VMs, by the last load report of the target.
        last_report_s: When the target last reported its load.
        reported_pace: How many times as long as usual work took at the target by this report.
        peer_in_flight: Requests in flight that the other VMs last announced; None without any.
        own_at_peer_update: This VM's requests in flight when they were announced.
        rounding_offset: Random number from 0 to 1, drawn with each update. It rounds fractional
            shares of the free capacity so that the shares of all VMs add up.
        senders: Number of VMs that send to the target.
        latency_ms: Moving average of the latency.
        latency_count: Number of latency samples.
        last_answer_s: When the last latency sample was taken.
        failure_share: Moving average of the share of failed attempts.
        ejections: Number of consecutive ejections.
        ejected_until_s: When the current ejection ends.
        shed_until_s: Until when the target counts as full because it shed a request.
        paused_until_s: Until when the target wants no requests of this VM.
    """

    own_in_flight: int = 0
    other_in_flight: float = 0.0
    last_report_s: float = float("-inf")
    reported_pace: float = 1.0
    peer_in_flight: float | None = None
    own_at_peer_update: int = 0
    rounding_offset: float = 0.0
    senders: int = 1
    latency_ms: float = 0.0
    latency_count: int = 0
    last_answer_s: float = float("-inf")
    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    shed_until_s: float = float("-inf")
    paused_until_s: float = float("-inf")

    def load(self, now_s: float) -> float:
        """Return the estimated number of requests at the target, running and waiting."""
        age_s = max(0.0, now_s - self.last_report_s)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return (
            self.own_in_flight
            + weight * self.other_in_flight
            + (1 - weight) * (self.peer_in_flight or 0.0)
        )

    def pace(self, now_s: float) -> float:
        """Return how many times as long as usual work probably takes at the target."""
        if self.reported_pace == 1.0:
            return 1.0
        age_s = max(0.0, now_s - self.last_report_s)
        return 1.0 + (self.reported_pace - 1.0) * 0.5 ** (age_s / PACE_HALF_LIFE_S)

    def record_peer_in_flight(
        self, peer_in_flight: float, rounding_offset: float, senders: int
    ) -> None:
        """Store the number of requests that the other VMs have in flight."""
        self.peer_in_flight, self.own_at_peer_update = peer_in_flight, self.own_in_flight
        self.rounding_offset, self.senders = rounding_offset, max(1, senders)

    def has_capacity(self, capacity: float, now_s: float) -> bool:
        """Return whether the target can hold one more request within the given capacity.

        All senders see the same free capacity at the same time. Without a recent load report of
        the target, each uses only its share of it, plus the slots of its own requests that have
        ended since.
        """
        if self.load(now_s) >= capacity:
            return False
        if self.peer_in_flight is None or now_s - self.last_report_s < REPORT_HALF_LIFE_S:
            return True
        free_capacity = capacity - self.peer_in_flight - self.own_at_peer_update
        sender_share = min(1.0, SENDER_SHARE_FACTOR / self.senders)
        return (
            self.own_in_flight - self.own_at_peer_update + self.rounding_offset
            < free_capacity * sender_share
        )

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is excluded for now because of failures."""
        return now_s < self.ejected_until_s

    def is_shedding(self, now_s: float) -> bool:
        """Return whether the target shed a request a moment ago."""
        return now_s < self.shed_until_s

    def pause(self, pause_ms: float, now_s: float) -> None:
        """Send no requests for a time that the target asked for; a longer pause remains."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_ms / 1000)

    def is_paused(self, now_s: float) -> bool:
        """Return whether the target wants no requests of this VM."""
        return now_s < self.paused_until_s

    def recent_latency_ms(self, now_s: float) -> float | None:
        """Return the average latency; None if there are too few samples or none is recent."""
        recent = now_s - self.last_answer_s < LATENCY_MAX_AGE_S
        return self.latency_ms if recent and self.latency_count >= MIN_LATENCIES else None

    def start(self) -> None:
        """Count a request as in flight."""
        self.own_in_flight += 1

    def finish(
        self, outcome: TargetOutcome, latency_ms: float, report: LoadReport | None, now_s: float
    ) -> None:
        """Record the outcome of a request that is no longer in flight."""
        self.own_in_flight = max(0, self.own_in_flight - 1)
        if report is not None:
            # The report may or may not include the request that it answers.
            self.other_in_flight = max(
                0.0, report.running + report.waiting - 1 - self.own_in_flight
            )
            self.last_report_s, self.reported_pace = now_s, report.pace
        if outcome is TargetOutcome.SHED:
            self.shed_until_s = now_s + SHED_HOLD_S
        if outcome in (TargetOutcome.ANSWERED, TargetOutcome.TIMED_OUT):
            # The pace of the moment is known apart; the average shows lasting differences.
            self._record_latency(latency_ms / (report.pace if report else 1.0), now_s)
        if outcome in FAILURE_OUTCOMES:
            self._record_failure(outcome, now_s)
        elif outcome is TargetOutcome.ANSWERED:
            self.failure_share *= 1 - FAILURE_WEIGHT
            self.ejections = 0

    def _record_latency(self, latency_ms: float, now_s: float) -> None:
        weight = max(LATENCY_WEIGHT, 1 / (self.latency_count + 1))
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.latency_count += 1
        self.last_answer_s = now_s

    def _record_failure(self, outcome: TargetOutcome, now_s: float) -> None:
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        is_unreachable = outcome is TargetOutcome.UNREACHABLE
        if (is_unreachable or self.failure_share > EJECT_FAILURE_SHARE) and not self.is_ejected(
            now_s
        ):
            self.ejected_until_s = now_s + min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
            self.ejections += 1
            # Resets the share so that outcomes after the return decide about the next ejection.
            self.failure_share = EJECT_FAILURE_SHARE / 2


def accepting_targets(
    targets: list[RegisteredTarget],
    load_of: Callable[[RegisteredTarget], TargetLoad],
    now_s: float,
) -> list[RegisteredTarget]:
    """Return the targets that accept requests, without ejected ones if most are healthy."""
    usable = [target for target in targets if not load_of(target).is_paused(now_s)]
    healthy = [target for target in usable if not load_of(target).is_ejected(now_s)]
    if len(healthy) < (1 - MAX_EJECTED_SHARE) * len(usable):
        return usable
    return healthy


def mean_utilization(
    targets: list[RegisteredTarget],
    load_of: Callable[[RegisteredTarget], TargetLoad],
    now_s: float,
) -> float:
    """Return the load of the targets divided by their slots; there must be a target."""
    slots = sum(max(1, target.entry.slots) for target in targets)
    return sum(load_of(target).load(now_s) for target in targets) / slots
