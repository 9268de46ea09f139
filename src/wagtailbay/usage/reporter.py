"""Send the stored reports while this VM holds the duty."""

from collections.abc import Callable

import trio
from attrs import define

from wagtailbay.logs import log_event
from wagtailbay.usage.const import (
    CALL_RATE_FRACTION,
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
    REPORT_TICK_S,
)
from wagtailbay.usage.lease import UsageLease
from wagtailbay.usage.models import ReportOutcome, UsageReport, UsageSettings
from wagtailbay.usage.planner import WindowPlanner
from wagtailbay.usage.ports import ReportApi


@define
class UsageReporter:
    """Sends reports that are certainly stored, oldest first, one call at a time.

    Attributes:
        next_call_s: Earliest time of the next call.
        backoff_s: Pause after the next failure.
        record_outcome: Told the outcome of each call.
    """

    settings: UsageSettings
    lease: UsageLease
    planner: WindowPlanner
    api: ReportApi
    clock: Callable[[], float]
    unix_s: Callable[[float], float]
    record_outcome: Callable[[str], None] = lambda outcome: None
    next_call_s: float = 0.0
    backoff_s: float = MIN_BACKOFF_S

    async def run(self) -> None:
        """Send what waits until cancelled."""
        while True:
            await self.send_next(self.clock())
            await trio.sleep(REPORT_TICK_S)

    def next_report(self, now_s: float) -> UsageReport | None:
        """Return the oldest stored report that can still be in time, None if none may be sent."""
        if now_s < self.next_call_s or not self.lease.may_send(now_s):
            return None
        record, unix_s = self.lease.record, self.unix_s(now_s)
        waiting = [
            window
            for window in record.windows
            if window not in self.planner.accepted and unix_s < self.settings.due_s(window)
        ]
        if not waiting:
            return None
        window = min(waiting)
        return UsageReport(record.vm, record.token, window, record.windows[window])

    async def send_next(self, now_s: float) -> None:
        """Send the next report, if there is one."""
        report = self.next_report(now_s)
        if report is None:
            return
        token = report.token

        def may_send() -> bool:
            record = self.lease.record
            return (
                record is not None and record.token == token and self.lease.may_send(self.clock())
            )

        outcome = await self.api.send(report, may_send)
        self._apply(report, outcome)

    def _apply(self, report: UsageReport, outcome: ReportOutcome) -> None:
        self.record_outcome(outcome.value)
        now_s = self.clock()
        if outcome in (ReportOutcome.ACCEPTED, ReportOutcome.REJECTED):
            self.planner.accepted.add(report.window)
            self.backoff_s = MIN_BACKOFF_S
            self.next_call_s = now_s + 1 / (CALL_RATE_FRACTION * self.settings.calls_per_s)
        else:
            self.next_call_s = now_s + self.backoff_s
            self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)
        if outcome is ReportOutcome.FENCED:
            self.lease.yield_duty("the platform knows a higher token")
        total = sum(report.counts.values())
        late_ms = round((self.unix_s(now_s) - self.settings.end_s(report.window)) * 1000)
        log_event(
            "usage_report",
            window=report.window,
            outcome=outcome.value,
            token=report.token,
            requests=total,
            workspaces=len(report.counts),
            after_end_ms=late_ms,
        )
