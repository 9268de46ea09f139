"""Tests of second attempts through a gateway."""

import pytest
import trio
from attrs import define, field
from support.gateway_harness import WAIT_S, GatewayHarness
from support.raw_target import RawExchange, RawTarget

from wagtailbay.gateway import forward as forward_module
from wagtailbay.gateway import handler as handler_module
from wagtailbay.gateway.const import MAX_BUFFERED_RESPONSE_BYTES
from wagtailbay.hedging import HedgeSettings


@define
class CountingMeter:
    """Counts the attempts that targets began to run."""

    begun: int = 0

    def record_begun(self, workspace: str, now_s: float) -> int:
        """Count an attempt."""
        self.begun += 1
        return 0

    def retract(self, workspace: str, window: int) -> None:
        """Remove an attempt."""
        self.begun -= 1


@define
class SlowFirst:
    """Two targets; the first request is held for a time, the others are answered at once.

    Attributes:
        answers: Bodies of the answers to the first and the others.
        status: Status of all answers.
    """

    hold_s: float
    answers: tuple[str, str] = ("slow", "fast")
    status: str = "200 OK"
    exchanges: list[RawExchange] = field(factory=list)
    closed: trio.Event = field(factory=trio.Event)
    harness: GatewayHarness = field(init=False)

    async def _answer(self, exchange: RawExchange) -> None:
        self.exchanges.append(exchange)
        if len(self.exchanges) > 1:
            await exchange.answer(self.answers[1], status=self.status)
            return
        with trio.move_on_after(self.hold_s):
            if not await exchange.stream.receive_some(1):
                self.closed.set()
                return
        await exchange.answer(self.answers[0], status=self.status)

    async def start(self, nursery: trio.Nursery, share: float) -> None:
        """Start a gateway to which the route's latencies are known."""
        self.harness = GatewayHarness({name: RawTarget(self._answer) for name in ("t1", "t2")})
        await self.harness.start(nursery)
        hedges = self.forwarder.hedges
        hedges.settings, hedges.tokens["records"] = HedgeSettings(share), 10.0
        for _ in range(50):
            hedges.record_latency("r1", 20, self.forwarder.clock())

    @property
    def forwarder(self):
        """Return the gateway's forwarder."""
        return self.harness.node.handler.forwarder

    def in_flight(self) -> list[int]:
        """Return the number of requests that the gateway has at each target."""
        return [load.own_in_flight for load in self.forwarder.selector.loads.values()]


@pytest.fixture
def finished(monkeypatch):
    """Return the fields of the log lines of finished requests."""
    lines = []
    monkeypatch.setattr(handler_module, "log_event", lambda event, **fields: lines.append(fields))
    return lines


class TestHedgedRequests:
    """A request whose first target is slow goes to a second one."""

    async def test_slow_first_target(self, nursery, finished):
        """Guards against waiting for a slow target, and against work there for nobody."""
        slow = SlowFirst(WAIT_S)
        await slow.start(nursery, 0.2)
        slow.forwarder.meter = meter = CountingMeter()
        response = await slow.harness.send_request()
        assert response.body == b"fast"
        with trio.fail_after(WAIT_S):
            await slow.closed.wait()
            while not finished:
                await trio.sleep(0.01)
        (line,) = finished
        assert line["hedged"] == "won"
        assert sorted(tried.split(":")[2] for tried in line["tried"].split(",")) == [
            "answered",
            "given_up",
        ]
        assert len({tried.split(":")[0] for tried in line["tried"].split(",")}) == 2
        assert slow.in_flight() == [0, 0]
        assert meter.begun == 2
        counts = slow.forwarder.metrics._counts["hedges"]
        assert counts == {("records", "sent"): 1, ("records", "won"): 1}
        nursery.cancel_scope.cancel()

    async def test_large_response_wins_with_its_head(self, nursery, finished):
        """Guards against two responses on the caller's connection where one is streamed."""
        body = "x" * (2 * MAX_BUFFERED_RESPONSE_BYTES)
        slow = SlowFirst(WAIT_S, ("slow", body))
        await slow.start(nursery, 0.2)
        response = await slow.harness.send_request()
        assert response.body == body.encode()
        with trio.fail_after(WAIT_S):
            await slow.closed.wait()
        nursery.cancel_scope.cancel()

    async def test_both_fail(self, nursery, finished):
        """Guards against an error that is sent while the other target may succeed, or twice."""
        slow = SlowFirst(1.0, status="500 Failed")
        await slow.start(nursery, 0.2)
        response = await slow.harness.send_request()
        assert (response.status, response.body) == (500, b"slow")
        assert len(slow.exchanges) == 2
        assert slow.in_flight() == [0, 0]
        with trio.fail_after(WAIT_S):
            while not finished:
                await trio.sleep(0.01)
        assert finished[0]["hedged"] == "failed"
        nursery.cancel_scope.cancel()

    async def test_busy_targets(self, nursery, finished):
        """Guards against second attempts that delay first ones once targets are busy."""
        slow = SlowFirst(0.8)
        await slow.start(nursery, 0.2)
        selector = slow.forwarder.selector
        for target in selector.registry.targets.values():
            selector.load_of(target).own_in_flight = 5  # Of 7 slots.
        response = await slow.harness.send_request()
        assert response.body == b"slow"
        denied = slow.forwarder.metrics._counts["hedges.denied"]
        assert denied == {("records", "utilization"): 1}
        nursery.cancel_scope.cancel()

    async def test_route_that_must_not_be_repeated(self, nursery, finished):
        """Guards against running a request twice that must run once."""
        slow = SlowFirst(0.8)
        await slow.start(nursery, 0.2)
        for _ in range(50):
            slow.forwarder.hedges.record_latency("r2", 20, slow.forwarder.clock())
        response = await slow.harness.send_request("/b/x")
        assert response.body == b"slow"
        assert len(slow.exchanges) == 1
        nursery.cancel_scope.cancel()

    async def test_off_by_default(self, nursery, finished, monkeypatch):
        """Guards against any change at deployments that set nothing."""
        monkeypatch.setattr(forward_module, "AttemptRace", None)
        slow = SlowFirst(0.8)
        await slow.start(nursery, 0.0)
        assert slow.harness.node.settings.hedging == HedgeSettings()
        response = await slow.harness.send_request()
        assert response.body == b"slow"
        assert len(slow.exchanges) == 1
        with trio.fail_after(WAIT_S):
            while not finished:
                await trio.sleep(0.01)
        assert finished[0]["hedged"] == "-"
        assert slow.forwarder.hedges.tokens == {"records": 10.0}
        nursery.cancel_scope.cancel()
