"""Decide which windows are reported with which counts."""

from collections.abc import Callable

from attrs import define, evolve, field

from wagtailbay.logs import log_event
from wagtailbay.usage.const import MAX_LOGGED_VMS, MAX_OPEN_WINDOWS
from wagtailbay.usage.exchange import UsageExchange
from wagtailbay.usage.models import CellUsage, DutyRecord, UsageSettings
from wagtailbay.usage.true_time import TrueTime


@define
class WindowPlanner:
    """Decides windows in their order, once their counts are complete or can wait no longer.

    A window that began before all known processes of the fleet is not reported, since what was
    counted in it before is lost. A later window without any request is reported with no counts.

    Attributes:
        expected_vms: Returns the VMs whose counts are waited for.
        accepted: Windows that the platform has accepted or finally rejected.
        record_outcome: Told ``dropped``, ``skipped`` or ``incomplete`` for a window.
        noted: Windows and outcomes that have been logged.
    """

    settings: UsageSettings
    exchange: UsageExchange
    true_time: TrueTime
    expected_vms: Callable[[], frozenset[str]]
    record_outcome: Callable[[str], None] = lambda outcome: None
    accepted: set[int] = field(factory=set)
    noted: set[tuple[int, str]] = field(factory=set)

    def first_floor(self, now_s: float) -> int:
        """Return the last window that another VM may have reported, if the record was lost."""
        return max(0, self.settings.window_at(self.true_time.unix_s(now_s)) - 1)

    def plan(self, record: DutyRecord, now_s: float) -> DutyRecord:
        """Return the record with the windows decided by now, and without those that are done."""
        unix_s = self.true_time.unix_s(now_s)
        windows = self._waiting(record, unix_s)
        floor = self._skip_overdue(record.floor, unix_s)
        while self._can_decide(floor + 1, unix_s, now_s):
            floor += 1
            counts = self._count(floor, now_s)
            if counts is not None:
                windows[floor] = counts
        while len(windows) > MAX_OPEN_WINDOWS:
            oldest = min(windows)
            del windows[oldest]
            self._note(oldest, "dropped", "too many windows wait")
        kept = self.exchange.counter.first_kept(unix_s)
        self.accepted = {window for window in self.accepted if window >= kept}
        self.noted = {note for note in self.noted if note[0] >= kept}
        return evolve(record, floor=floor, windows=windows)

    def _waiting(self, record: DutyRecord, unix_s: float) -> dict[int, dict[str, int]]:
        """Return the stored windows that can still be reported in time."""
        windows = {}
        for window, counts in record.windows.items():
            if window in self.accepted:
                continue
            if unix_s >= self.settings.due_s(window):
                self._note(window, "dropped", "the report is overdue")
                continue
            windows[window] = counts
        return windows

    def _skip_overdue(self, floor: int, unix_s: float) -> int:
        """Return the last window whose report would be overdue, or the floor if it is later."""
        overdue = self.settings.window_at(unix_s - self.settings.due_after_ms / 1000) - 1
        for window in range(max(floor + 1, self.exchange.counter.first_kept(unix_s)), overdue + 1):
            self._note(window, "skipped", "the report is overdue")
        return max(floor, overdue)

    def _is_whole(self, window: int, total: CellUsage | None) -> bool:
        """Return whether a process of the fleet was running when the window began."""
        return total is not None and total.since_ms <= window * self.settings.report_window_ms

    def _can_decide(self, window: int, unix_s: float, now_s: float) -> bool:
        """Return whether a window's counts are complete, or can be waited for no longer."""
        if unix_s < self.settings.settled_s(window) or not self.exchange.is_current(now_s):
            return False
        if unix_s >= self.settings.latest_s(window):
            return True
        total = self.exchange.total(window, now_s)
        return self._is_whole(window, total) and not self._missing(total, now_s)

    def _missing(self, total: CellUsage, now_s: float) -> set[str]:
        """Return the VMs that have not closed a window.

        Besides live VMs, those that counted in it or in the window before are waited for: one that
        was frozen or partitioned no longer counts as live, but may come back with its counts.
        """
        before = self.exchange.total(total.window - 1, now_s)
        counted = total.vms if before is None else total.vms | before.vms
        return set(self.expected_vms() | counted) - set(total.closed_vms)

    def _count(self, window: int, now_s: float) -> dict[str, int] | None:
        """Return the counts to report for a window, None to report nothing."""
        total = self.exchange.total(window, now_s)
        if not self._is_whole(window, total):
            self._note(window, "skipped", "the fleet started after the window did")
            return None
        missing = self._missing(total, now_s)
        if len(missing) > self.settings.tolerance * len(total.vms):
            names = ", ".join(sorted(missing)[:MAX_LOGGED_VMS])
            self._note(window, "incomplete", f"{len(missing)} VMs are missing: {names}")
        return total.counts

    def _note(self, window: int, outcome: str, reason: str) -> None:
        """Log and count a window that is not reported as usual; once, if a write is repeated."""
        if (window, outcome) in self.noted:
            return
        self.noted.add((window, outcome))
        log_event("usage_window", window=window, outcome=outcome, reason=reason)
        self.record_outcome(outcome)
