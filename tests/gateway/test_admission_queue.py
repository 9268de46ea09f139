"""Tests of requests that wait at the gateway while their target is full."""

import json

import pytest
import trio
from result import Err
from support.gateway import config_spec
from support.gateway_harness import WAIT_S, GatewayHarness, get_header
from support.raw_target import RawExchange, RawTarget

from wagtailbay.admission import AdmissionSettings
from wagtailbay.gateway import handler as handler_module
from wagtailbay.placement import PlacementFailure

HOLD_PATH = "/a/hold"
FAIL_PATH = "/a/hold/fail"
# A target holds at most 2.5 times its 7 slots.
HELD = 18


class FullTarget:
    """A gateway with one target that has as many requests as it may hold."""

    def __init__(self) -> None:
        self.releases: list[trio.Event] = []
        self.harness = GatewayHarness({"t1": RawTarget(self._answer)})

    async def _answer(self, exchange: RawExchange) -> None:
        if HOLD_PATH in exchange.head:
            release = trio.Event()
            self.releases.append(release)
            await release.wait()
        status = "500 Failed" if FAIL_PATH in exchange.head else "200 OK"
        await exchange.answer(status=status)

    @property
    def admission(self):
        """Return the gateway's admission controller."""
        return self.harness.node.handler.forwarder.admission

    async def fill(self, nursery: trio.Nursery, settings: AdmissionSettings) -> None:
        """Start the gateway and fill its target."""
        await self.harness.start(nursery)
        spec = config_spec(version="00000009")
        route = spec["routes"][0]
        route |= {"weighted_services": [], "service": "records", "home_regions": []}
        route |= {"timeout": "20s", "latency_goal": "20s"}
        self.harness.api.put_spec("config", "main", spec)
        with trio.fail_after(WAIT_S):
            while self.harness.node.routing.table.routes[0].latency_goal_ms != 20_000:
                await trio.sleep(0.02)
        self.admission.settings = settings
        for _ in range(8):
            assert (await self.harness.send_request()).status == 200
        for _ in range(HELD):
            nursery.start_soon(self.harness.send_request, HOLD_PATH)
        with trio.fail_after(WAIT_S):
            while len(self.releases) < HELD:
                await trio.sleep(0.01)
        queue = self.admission._service("records").queue
        assert (queue.completions.per_s > 0) is self.admission.enabled
        queue.completions.record(20, self.admission.clock())

    async def wait_for_queued(self, count: int) -> None:
        """Wait until that many requests wait at the gateway."""
        with trio.fail_after(WAIT_S):
            while self.admission.queued != count:
                await trio.sleep(0.01)


class TestAdmissionQueue:
    """A request that finds its target full waits if the settings say so."""

    @pytest.fixture
    def finished(self, monkeypatch):
        """Return the fields of the log lines of finished requests."""
        lines = []
        monkeypatch.setattr(
            handler_module, "log_event", lambda event, **fields: lines.append(fields)
        )
        return lines

    async def test_waiting_request_is_served_when_a_slot_frees(self, nursery, finished):
        """Guards against refusing a request for which capacity is about to become free."""
        full, responses = FullTarget(), []

        async def send() -> None:
            responses.append(await full.harness.send_request(Request_Id="waiting"))

        await full.fill(nursery, AdmissionSettings(0.5))
        nursery.start_soon(send)
        await full.wait_for_queued(1)
        await trio.sleep(0.1)
        full.releases.pop().set()
        with trio.fail_after(WAIT_S):
            while not responses:
                await trio.sleep(0.01)
        assert responses[0].status == 200
        (line,) = [line for line in finished if line["request_id"] == "waiting"]
        assert line["queued_ms"] >= 100
        assert full.admission.queued == 0
        nursery.cancel_scope.cancel()

    async def test_caller_that_leaves_is_dropped_at_once(self, nursery):
        """Guards against sending the request of a caller that left while it waited."""
        full = FullTarget()
        await full.fill(nursery, AdmissionSettings(0.5))
        received = len(full.harness.targets["t1"].exchanges)
        with trio.CancelScope() as scope:
            nursery.start_soon(self._cancel_when_queued, full, scope)
            await full.harness.send_request()
        await full.wait_for_queued(0)
        full.releases.pop().set()
        await trio.sleep(0.2)
        assert len(full.harness.targets["t1"].exchanges) == received
        nursery.cancel_scope.cancel()

    async def _cancel_when_queued(self, full: FullTarget, scope: trio.CancelScope) -> None:
        await full.wait_for_queued(1)
        scope.cancel()

    async def test_wait_without_capacity_ends_as_not_run(self, nursery, finished):
        """Guards against a refusal that does not promise that the request has not run."""
        full = FullTarget()
        await full.fill(nursery, AdmissionSettings(0.01))
        response = await full.harness.send_request(Request_Id="refused")
        assert response.status == 503
        assert json.loads(response.body)["error"]["run"] == "not_run"
        assert float(get_header(response, "Retry-After")) > 0
        (line,) = [line for line in finished if line["request_id"] == "refused"]
        assert line["queued_ms"] >= 150
        nursery.cancel_scope.cancel()

    async def test_request_that_may_have_run_does_not_wait(self, nursery, finished, monkeypatch):
        """Guards against holding a response that is ready while a retry waits for capacity."""
        full = FullTarget()
        await full.fill(nursery, AdmissionSettings(0.5))
        for release in full.releases:
            release.set()
        nursery.start_soon(full.harness.send_request, FAIL_PATH)
        with trio.fail_after(WAIT_S):
            while len(full.releases) == HELD:
                await trio.sleep(0.01)
        selector, failure = full.harness.node.selector, Err(PlacementFailure.full(500.0))
        monkeypatch.setattr(type(selector), "select", lambda *_: failure)
        full.releases[-1].set()
        with trio.fail_after(WAIT_S):
            while not any(line.get("status") == 500 for line in finished):
                await trio.sleep(0.01)
        (line,) = [line for line in finished if line.get("status") == 500]
        assert line["queued_ms"] < 100
        nursery.cancel_scope.cancel()

    async def test_request_is_refused_at_once_without_the_queue(self, nursery, finished):
        """Guards against waiting at deployments that do not ask for it."""
        full = FullTarget()
        await full.fill(nursery, AdmissionSettings())
        response = await full.harness.send_request(Request_Id="refused")
        assert response.status == 503
        (line,) = [line for line in finished if line["request_id"] == "refused"]
        assert line["queued_ms"] == 0
        nursery.cancel_scope.cancel()
