"""Send one report over a connection of its own."""

from collections.abc import Callable

import trio
from attrs import frozen
from result import Err

from wagtailbay.transport import open_connection
from wagtailbay.transport.sockets import limit_retransmission, reset_on_close
from wagtailbay.usage.models import ReportOutcome, UsageReport
from wagtailbay.usage.ports import ReportCodec


@frozen
class UsageSender:
    """Sends reports to the platform.

    A connection without a response is reset, so the kernel sends nothing of the call later. A plain
    close would leave unconfirmed bytes to be repeated until the link is back. While the process is
    stopped, the kernel itself ends the repetition after the call timeout.
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
                reset_on_close(connection.stream)
                limit_retransmission(connection.stream, self.timeout_s)
                if not may_send():
                    return ReportOutcome.NOT_SENT
                response = await connection.send(self.codec.encode(report))
                if isinstance(response, Err):
                    return ReportOutcome.FAILED
                reset_on_close(connection.stream, False)
                return self.codec.outcome(response.ok_value.status)
            finally:
                await connection.close()
        return ReportOutcome.FAILED
