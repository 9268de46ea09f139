"""What the usage slice needs from its surroundings."""

from collections.abc import Callable
from typing import Protocol

from wagtailbay.transport import Request
from wagtailbay.usage.models import DutyRecord, ReportOutcome, UsageReport


class ReportCodec(Protocol):
    """Encoding of reports for the platform."""

    def encode(self, report: UsageReport) -> Request:
        """Return the request that carries a report."""


class ReportApi(Protocol):
    """Receiver of the reports."""

    async def send(self, report: UsageReport, may_send: Callable[[], bool]) -> ReportOutcome:
        """Send a report; ends within the call timeout.

        Args:
            may_send: Asked right before the report is written to the connection.
        """


class DutyPlanner(Protocol):
    """Decides what the holder stores."""

    def first_floor(self, now_s: float) -> int:
        """Return the last window that another VM may have reported, if the record was lost."""

    def plan(self, record: DutyRecord, now_s: float) -> DutyRecord:
        """Return the record with the windows decided by now, and without those that are done."""
