"""Tests of what the gateway counts as begun by a target."""

import pytest
import trio
from support.gateway_harness import start_raw_harness
from support.raw_target import RawExchange, Script

from wagtailbay.transport import ConnectionPool
from wagtailbay.usage.counter import UsageCounter
from wagtailbay.usage.models import UsageSettings


class FixedMeter:
    """Counts all attempts in one window."""

    def __init__(self) -> None:
        self.counter = UsageCounter(UsageSettings(report_window_ms=5_000))

    def record_begun(self, workspace: str, now_s: float) -> int:
        """Count an attempt."""
        return self.counter.record_begun(workspace, 0.0)

    def retract(self, workspace: str, window: int) -> None:
        """Remove an attempt."""
        self.counter.retract(workspace, window)


class StuckPool(ConnectionPool):
    """Waits for ever in one of its methods."""

    def __init__(self, method: str) -> None:
        super().__init__()
        self.waiting = trio.Event()
        self.method = method

    async def acquire(self, *arguments, **options):
        """Return a connection, or wait."""
        await self._wait_in("acquire")
        return await super().acquire(*arguments, **options)

    async def release(self, connection) -> None:
        """Release a connection, or wait."""
        await self._wait_in("release")
        await super().release(connection)

    async def _wait_in(self, method: str) -> None:
        if method == self.method:
            self.waiting.set()
            await trio.sleep_forever()


async def answer(exchange: RawExchange) -> None:
    """Answer with a success."""
    await exchange.answer()


async def fail(exchange: RawExchange) -> None:
    """Answer with an error after the request has run."""
    await exchange.answer(status="500 x")


async def turn_away(exchange: RawExchange) -> None:
    """State that the request has not run."""
    await exchange.answer("no", "Not-Executed: 1", status="503 x")


async def close(exchange: RawExchange) -> None:
    """Close the connection without an answer."""
    await exchange.stream.aclose()


async def count(nursery, path: str, *scripts: Script) -> dict[str, int]:
    """Return the counts after one request to targets with the given scripts."""
    harness = await start_raw_harness(nursery, *scripts)
    meter = harness.node.handler.forwarder.meter = FixedMeter()
    await harness.send_request(path)
    return meter.counter.counts(0)


class TestUsageCounts:
    """An attempt counts if its target began to run the request, or may have."""

    @pytest.mark.parametrize(
        ("path", "script", "counts"),
        [
            ("/a/x", answer, {"unam": 1}),
            ("/a/x", fail, {"unam": 2}),
            ("/b/x", close, {"unam": 1}),
            ("/a/x", turn_away, {}),
        ],
    )
    async def test_counts_by_outcome(self, nursery, path, script, counts) -> None:
        """Guards against uncounted retries, and against counting what was turned away."""
        assert await count(nursery, path, script, script) == counts

    @pytest.mark.parametrize(("method", "counts"), [("acquire", {}), ("release", {"unam": 1})])
    async def test_cancelled_attempt_counts_once_sent(self, nursery, method, counts) -> None:
        """Guards against counting a request whose caller left before it was sent."""
        harness = await start_raw_harness(nursery, answer)
        forwarder = harness.node.handler.forwarder
        meter = forwarder.meter = FixedMeter()
        pool = forwarder.pool = StuckPool(method)
        async with trio.open_nursery() as callers:
            callers.start_soon(harness.send_request)
            with trio.fail_after(10):
                await pool.waiting.wait()
            assert meter.counter.counts(0) == {"unam": 1}
            callers.cancel_scope.cancel()
        with trio.move_on_after(1):
            while meter.counter.counts(0) != {}:
                await trio.sleep(0.01)
        assert meter.counter.counts(0) == counts

    async def test_reports_are_off_by_default(self, nursery) -> None:
        """Guards against tasks and store calls in deployments without usage reports."""
        harness = await start_raw_harness(nursery, answer)
        assert harness.node.usage is None
        assert harness.node.handler.forwarder.meter is None
