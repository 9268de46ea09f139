"""Data classes of usage reports: settings, counts as facts, and the stored state of the duty."""

from collections.abc import Callable
from enum import Enum

from attrs import field, frozen, validators

from wagtailbay.decoding import MAX_COUNT
from wagtailbay.membership.codec import register_fact
from wagtailbay.usage.const import (
    CALL_TIMEOUT_FRACTION,
    LATEST_FRACTION,
    MAX_REQUESTS,
    MAX_TOKEN,
    MAX_UNIX_MS,
    RENEW_FRACTION,
    RUN_NAME_CHARS,
    SETTLE_FRACTION,
    USAGE_CELL_KIND,
    USAGE_CLOCK_KIND,
    USAGE_KIND,
    USAGE_LEASE_KIND,
)


def _is_whole(maximum: int) -> Callable[..., None]:
    return validators.and_(validators.instance_of(int), validators.ge(0), validators.le(maximum))


_is_time = _is_whole(MAX_UNIX_MS)
# No window is shorter than 1 ms.
_is_window = _is_whole(MAX_UNIX_MS)
_is_token = _is_whole(MAX_TOKEN)
_is_version = _is_whole(MAX_COUNT)
_are_counts = validators.deep_mapping(validators.min_len(1), _is_whole(MAX_REQUESTS))
_are_runs = validators.deep_iterable(validators.matches_re(r"(?s).+/[^/]*"))


@frozen
class UsageSettings:
    """Rules of the deployment for usage reports.

    Attributes:
        report_window_ms: Length of a window; 0 switches the reports off.
        due_after_ms: Time from the end of a window until its report is due.
        tolerance: How far a count may be off, as a fraction.
        lease_ms: Time in which the holder may not change back and forth.
        thaw_slack_ms: Time after a freeze in which the calls of the resumed VM do not count.
        calls_per_s: Calls that all VMs together may make.
    """

    report_window_ms: float = 0.0
    due_after_ms: float = 10_000.0
    tolerance: float = 0.05
    lease_ms: float = 3_000.0
    thaw_slack_ms: float = 300.0
    calls_per_s: float = 50.0

    @property
    def window_s(self) -> float:
        """Return the length of a window."""
        return self.report_window_ms / 1000

    @property
    def lease_s(self) -> float:
        """Return the lease time."""
        return self.lease_ms / 1000

    @property
    def thaw_slack_s(self) -> float:
        """Return the margin for freezes."""
        return self.thaw_slack_ms / 1000

    @property
    def call_timeout_s(self) -> float:
        """Return the longest time from the start of a call to its end."""
        return CALL_TIMEOUT_FRACTION * (self.lease_s - self.thaw_slack_s)

    @property
    def renew_interval_s(self) -> float:
        """Return the time from one renewal of the lease to the next."""
        return RENEW_FRACTION * (self.lease_s - self.thaw_slack_s)

    def window_at(self, unix_s: float) -> int:
        """Return the window that contains a time."""
        return int(unix_s // self.window_s)

    def end_s(self, window: int) -> float:
        """Return the end of a window."""
        return (window + 1) * self.window_s

    def settled_s(self, window: int) -> float:
        """Return when the counts of a window may be taken as final, if all VMs closed it."""
        return self.end_s(window) + SETTLE_FRACTION * self.due_after_ms / 1000

    def latest_s(self, window: int) -> float:
        """Return until when VMs that have not closed a window are waited for."""
        return self.end_s(window) + LATEST_FRACTION * self.due_after_ms / 1000

    def due_s(self, window: int) -> float:
        """Return when the report of a window is due."""
        return self.end_s(window) + self.due_after_ms / 1000


@frozen
class WindowUsage:
    """Requests of one run of a VM in one window, by workspace.

    Attributes:
        since_ms: Unix time from which on the run has counted.
        closed: Whether the window has ended for the VM.
    """

    window: int = field(validator=_is_window)
    since_ms: int = field(validator=_is_time)
    closed: bool
    counts: dict[str, int] = field(validator=_are_counts)


@frozen
class CellUsage:
    """Sum over the runs of a cell's VMs in one window.

    Attributes:
        closed_runs: Runs in the sum that have closed the window, as returned by ``run_name``.
        open_runs: Other runs in the sum.
        since_ms: Unix time from which on the first of these runs has counted.
    """

    window: int = field(validator=_is_window)
    since_ms: int = field(validator=_is_time)
    closed_runs: tuple[str, ...] = field(validator=_are_runs)
    open_runs: tuple[str, ...] = field(validator=_are_runs)
    counts: dict[str, int] = field(validator=_are_counts)

    @property
    def runs(self) -> frozenset[str]:
        """Return all runs in the sum."""
        return frozenset(self.closed_runs) | frozenset(self.open_runs)

    @property
    def vms(self) -> frozenset[str]:
        """Return all VMs in the sum."""
        return frozenset(map(_vm_of, self.runs))

    @property
    def closed_vms(self) -> frozenset[str]:
        """Return the VMs of which a run has closed the window."""
        return frozenset(map(_vm_of, self.closed_runs))


def run_name(vm: str, run_id: str) -> str:
    """Return a short name for a run of a VM; sums list many of them."""
    return f"{vm}/{run_id[-RUN_NAME_CHARS:]}"


def _vm_of(name: str) -> str:
    return name.rpartition("/")[0]


@frozen
class ClockReading:
    """Time of day of a VM when it published this fact.

    Attributes:
        true_ms: The median over the VMs that a delegate hears; None from other VMs.
    """

    unix_ms: int = field(validator=_is_time)
    true_ms: int | None = field(default=None, validator=validators.optional(_is_time))


@frozen
class HeldLease:
    """The newest write of the holder, told to the VMs that may succeed it."""

    token: int = field(validator=_is_token)
    version: int = field(validator=_is_version)


@frozen
class DutyRecord:
    """Stored state of the duty: its holder, and the reports that may have been sent.

    Attributes:
        run: Identifies the process of the holder.
        token: Rises with each holder.
        mark: Identifies the write.
        era: Era of the store's copy that the writer continued.
        floor: Last window that was decided. Windows up to it that are not in ``windows`` are never
            reported again.
        windows: Counts of the windows that are decided and not known to be accepted, by window.
    """

    vm: str
    run: str
    token: int = field(validator=_is_token)
    mark: str
    era: int = field(validator=_is_version)
    floor: int = field(validator=_is_window)
    windows: dict[int, dict[str, int]] = field(
        factory=dict, validator=validators.deep_mapping(_is_window, _are_counts)
    )


@frozen
class UsageReport:
    """A report as it is sent."""

    holder: str
    token: int
    window: int
    counts: dict[str, int]


class ReportOutcome(Enum):
    """Outcomes of a call that sends a report."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    REJECTED = "rejected"
    FENCED = "fenced"
    FAILED = "failed"
    NOT_SENT = "not_sent"


register_fact(USAGE_KIND, WindowUsage, is_strict=True)
register_fact(USAGE_CELL_KIND, CellUsage, is_strict=True)
register_fact(USAGE_CLOCK_KIND, ClockReading, is_strict=True)
register_fact(USAGE_LEASE_KIND, HeldLease, is_strict=True)
