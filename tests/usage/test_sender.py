"""Tests of a report's way over HTTP."""

import socket

import pytest
import trio
from result import Ok, Result

from wagtailbay.platform.usage_api import UsageReportCodec
from wagtailbay.transport import ClientConnection, TransportError, open_connection
from wagtailbay.usage import ReportOutcome, UsageReport, UsageSender, sender
from wagtailbay_standins.usage_api import UsageApiStandin

REPORT = UsageReport("vm-1", 7, 353445120, {"cuka620": 412, "jeye931": 3})
TIMEOUT_S = 0.3


async def send_to(api: UsageApiStandin, may_send=lambda: True) -> ReportOutcome:
    """Serve the API and send the report to it."""
    async with trio.open_nursery() as nursery:
        address = await nursery.start(api.serve)
        outcome = await UsageSender(address, UsageReportCodec(), TIMEOUT_S).send(REPORT, may_send)
        nursery.cancel_scope.cancel()
    return outcome


class TestSender:
    """Each status and fault has its outcome, within the call timeout."""

    async def test_report_arrives_as_it_was_decided(self) -> None:
        """Guards against names or types that the platform does not read."""
        api = UsageApiStandin()
        assert await send_to(api) is ReportOutcome.ACCEPTED
        (call,) = api.calls
        assert (call.holder, call.token, call.window) == ("vm-1", 7, 353445120)
        assert call.counts == REPORT.counts

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (429, ReportOutcome.BUSY),
            (503, ReportOutcome.FAILED),
            (408, ReportOutcome.FAILED),
            (421, ReportOutcome.FAILED),
            (412, ReportOutcome.FENCED),
            (400, ReportOutcome.REJECTED),
        ],
    )
    async def test_status(self, status: int, outcome: ReportOutcome) -> None:
        """Guards against a report that counts as accepted although it was refused."""
        assert await send_to(UsageApiStandin(error_status=status)) is outcome

    async def test_late_answer_ends_with_the_timeout(self) -> None:
        """Guards against a call that outlives the lease while the API is slow."""
        started_s = trio.current_time()
        assert await send_to(UsageApiStandin(delay_s=5.0)) is ReportOutcome.FAILED
        assert trio.current_time() - started_s < 2 * TIMEOUT_S

    async def test_connection_without_answer(self) -> None:
        """Guards against a task that ends with an error when the API is away."""
        assert await send_to(UsageApiStandin(is_away=True)) is ReportOutcome.FAILED

    async def test_nothing_is_written_once_the_lease_has_ended(self) -> None:
        """Guards against a holder that was frozen while it connected."""
        api = UsageApiStandin()
        assert await send_to(api, lambda: False) is ReportOutcome.NOT_SENT
        assert not api.calls

    async def test_kernel_stops_repeating_a_call_after_the_timeout(self, monkeypatch) -> None:
        """Guards against a call that arrives after the successor's, from a frozen VM."""
        opened: list[ClientConnection] = []

        async def connect(
            address: str, timeout_ms: int
        ) -> Result[ClientConnection, TransportError]:
            result = await open_connection(address, timeout_ms)
            assert isinstance(result, Ok)
            opened.append(result.ok_value)
            return result

        limits_ms: list[int] = []

        def may_send() -> bool:
            option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            limits_ms.append(opened[0].stream.getsockopt(*option))
            return True

        monkeypatch.setattr(sender, "open_connection", connect)
        assert await send_to(UsageApiStandin(), may_send) is ReportOutcome.ACCEPTED
        assert limits_ms == [round(TIMEOUT_S * 1000)]
