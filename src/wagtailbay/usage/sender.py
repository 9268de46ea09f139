"""Send one report over a connection of its own."""

from collections.abc import Callable
from typing import Final

import trio
from attrs import frozen
from result import Err

from wagtailbay.transport import open_connection
from wagtailbay.transport.sockets import limit_retransmission, reset_on_close
from wagtailbay.usage.models import ReportOutcome, UsageReport
from wagtailbay.usage.ports import ReportCodec

# Other statuses from 400 to 499 reject the report for good. With 408 and 421 it was not run.
OUTCOMES_BY_STATUS: Final = {
    200: ReportOutcome.ACCEPTED,
    408: ReportOutcome.FAILED,
    409: ReportOutcome.FENCED,
    412: ReportOutcome.FENCED,
    421: ReportOutcome.FAILED,
    429: ReportOutcome.BUSY,
}


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
                return _outcome(response.ok_value.status)
            finally:
                await connection.close()
        return ReportOutcome.FAILED


def _outcome(status: int) -> ReportOutcome:
    """Return the outcome that the status of a response states."""
    other = ReportOutcome.REJECTED if 400 <= status < 500 else ReportOutcome.FAILED
    return OUTCOMES_BY_STATUS.get(status, other)
