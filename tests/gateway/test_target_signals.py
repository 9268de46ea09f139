"""Tests of targets that announce that they are leaving or ask for a pause."""

import json

import pytest
import trio
from support.gateway_harness import WAIT_S, GatewayHarness, get_header, start_raw_harness
from support.raw_target import RawExchange

from wagtailbay.placement.const import SHED_HOLD_S
from wagtailbay.registry.const import LEAVING_KIND

LEAVING = "Server-Leaving: 1"


async def answer(exchange: RawExchange) -> None:
    """Answer a request normally."""
    await exchange.answer()


def turn_away(retry_after: str):
    """Return a script that turns every request away and asks for a pause."""

    async def script(exchange: RawExchange) -> None:
        headers = ("Not-Executed: 1", f"Retry-After: {retry_after}")
        await exchange.answer("full", *headers, status="503 Service Unavailable")

    return script


async def start_harness(nursery, first, second=answer) -> GatewayHarness:
    """Return a running gateway with two raw targets."""
    return await start_raw_harness(nursery, first, second)


class TestLeavingTarget:
    """A target whose answer says that it is leaving gets no further requests."""

    async def test_answer_is_delivered_and_the_next_requests_go_elsewhere(self, nursery):
        """Guards against new work at a target that the store still lists as ready."""

        async def leave(exchange: RawExchange) -> None:
            await exchange.answer("ok", LEAVING)

        harness = await start_harness(nursery, leave)
        for number in range(12):
            response = await harness.send_request(Cookie=f"Affinity-Key={number}")
            assert response.status == 200
        assert len(harness.targets["t1"].exchanges) == 1
        assert len(harness.targets["t2"].exchanges) == 11

    async def test_leaving_is_noticed_in_a_rejection(self, nursery):
        """Guards against noticing it in successful answers only."""

        async def leave(exchange: RawExchange) -> None:
            headers = ("Not-Executed: 1", LEAVING)
            await exchange.answer("", *headers, status="503 Service Unavailable")

        harness = await start_harness(nursery, leave)
        for number in range(12):
            await harness.send_request(Cookie=f"Affinity-Key={number}")
            await trio.sleep(SHED_HOLD_S / 3)
        assert len(harness.targets["t1"].exchanges) == 1

    async def test_other_vms_are_told_while_the_store_is_away(self, nursery):
        """Guards against other VMs that learn of it only from the store."""

        async def leave(exchange: RawExchange) -> None:
            await exchange.answer("ok", LEAVING)

        harness = await start_harness(nursery, leave)
        harness.api.error_status = 503
        for number in range(12):
            await harness.send_request(Cookie=f"Affinity-Key={number}")
        facts = harness.node.fleet.facts.facts
        with trio.fail_after(WAIT_S):
            while not any(fact.kind == LEAVING_KIND for fact in facts.values()):
                await trio.sleep(0.02)


class TestPause:
    """A target that turns requests away gets none for the time that it asks for."""

    async def test_paused_target_gets_no_requests(self, nursery):
        """Guards against requests, retries and recovery attempts during the pause."""
        harness = await start_harness(nursery, turn_away("30.5"))
        for number in range(12):
            response = await harness.send_request(Cookie=f"Affinity-Key={number}")
            assert response.status == 200
            await trio.sleep(SHED_HOLD_S / 3)
        assert len(harness.targets["t1"].exchanges) == 1

    async def test_caller_learns_when_the_first_target_is_back(self, nursery):
        """Guards against callers that wait at, or return to, a service without any target."""
        harness = await start_harness(nursery, turn_away("2.5"), turn_away("30"))
        for number in range(10):
            response = await harness.send_request("/b/x", Cookie=f"Affinity-Key={number}")
            assert response.status == 503
        assert json.loads(response.body)["error"]["run"] == "not_run"
        assert 0.5 < float(get_header(response, "Retry-After")) <= 2.5
        assert [len(target.exchanges) for target in harness.targets.values()] == [1, 1]

    async def test_target_is_used_after_the_pause(self, nursery):
        """Guards against a target that stays unused."""
        answers = iter([turn_away("0.3")])

        async def pause_once(exchange: RawExchange) -> None:
            await next(answers, answer)(exchange)

        harness = await start_harness(nursery, pause_once)
        with trio.fail_after(WAIT_S):
            while len(harness.targets["t1"].exchanges) < 3:
                number = len(harness.received_requests())
                await harness.send_request(Cookie=f"Affinity-Key={number}")

    @pytest.mark.parametrize("value", ["soon", "-1", "1e9", "nan", "", "9" * 400, "²"])
    async def test_unusable_pause_is_ignored(self, nursery, value):
        """Guards against a malformed header that fails the request or ends the use of a target."""
        harness = await start_harness(nursery, turn_away(value))
        for number in range(6):
            response = await harness.send_request(Cookie=f"Affinity-Key={number}")
            assert response.status == 200
