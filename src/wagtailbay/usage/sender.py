"""Send one report over a connection of its own."""

from collections.abc import Callable

import trio
from attrs import frozen
from result import Err

from wagtailbay.transport import open_connection
from wagtailbay.usage.models import ReportOutcome, UsageReport
from wagtailbay.usage.ports import ReportCodec


@frozen
class UsageSender:
    """Sends reports to the platform.

    After the time-out the connection is closed, so nothing of a call is written later.
    """

    address: str
    codec: ReportCodec
    timeout_s: float

    async def send(self, report: UsageReport, may_send: Callable[[], bool]) -> ReportOutcome:
        """Send a report; ends within the call timeout."""
        with trio.move_on_after(self.timeout_s):
            opened = await open_connection(self.address, round(self.timeout_s * 1000))
            if isinstance(opened, Err):
                return ReportOutcome.FAILED
            connection = opened.ok_value
            try:
                if not may_send():
                    return ReportOutcome.NOT_SENT
                response = await connection.send(self.codec.encode(report))
                if isinstance(response, Err):
                    return ReportOutcome.FAILED
                return self.codec.outcome(response.ok_value.status)
            finally:
                await connection.close()
        return ReportOutcome.FAILED
