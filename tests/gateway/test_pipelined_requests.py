"""Tests of callers of a gateway that send requests ahead on one connection."""

import pytest
import trio
from support.gateway_harness import WAIT_S, GatewayHarness, start_raw_harness
from support.raw_target import RawExchange
from transport.test_pipelining import Caller

from wagtailbay.settings.checks import split_address

WORK_S = 0.5
GOAL_S = 0.8


def request(path: str, number: int, method: str = "GET") -> bytes:
    """Encode a request of workspace unam with the ID ``id-<number>``."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        "Authorization: Token key-1",
        "Deadline-Ms: 20000",
        f"Cookie: Affinity-Key={number}",
        f"Request-Id: id-{number}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def answer_after_work(exchange: RawExchange) -> None:
    """Answer with the request's ID after the time that its work takes."""
    await trio.sleep(WORK_S)
    await exchange.answer(exchange.request_id)


async def open_caller(harness: GatewayHarness) -> Caller:
    """Return a new connection to the gateway."""
    return Caller(await trio.open_tcp_stream(*split_address(harness.address)))


@pytest.fixture
async def harness(nursery):
    """Return a running gateway with two targets whose work takes half a second."""
    return await start_raw_harness(nursery, answer_after_work, answer_after_work)


class TestPipelinedRequests:
    """Requests of a route that may be repeated run at the same time."""

    async def test_four_requests_take_the_time_of_one(self, harness):
        """Guards against requests that reach a target late because they were sent ahead."""
        caller = await open_caller(harness)
        started_s = trio.current_time()
        await caller.send(*[request(f"/a/{number}", number) for number in range(4)])
        assert await caller.read_bodies(4) == [f"id-{number}" for number in range(4)]
        assert trio.current_time() - started_s < GOAL_S
        counts = harness.node.exporter.render_text().decode()
        assert 'wagtailbay_run_ahead_total{outcome="started"} 3.0' in counts

    @pytest.mark.parametrize(("path", "method"), [("/b/x", "GET"), ("/a/x", "DELETE")])
    async def test_request_that_changes_something_runs_alone(self, harness, path, method):
        """Guards against running a request early that a lost connection would repeat."""
        caller = await open_caller(harness)
        await caller.send(request("/a/0", 0), request(path, 1, method), request("/a/2", 2))
        with trio.fail_after(WAIT_S):
            for number in range(3):
                assert (await caller.read())[2] == f"id-{number}"
                await trio.sleep(WORK_S / 2)
                begun = min(number + 2, 3)
                assert len(harness.received_requests()) == begun

    async def test_refusal_keeps_its_place(self, harness):
        """Guards against a refusal that its caller takes for that of an earlier request."""
        caller = await open_caller(harness)
        denied = request("/a/1", 1).replace(b"key-1", b"nobody")
        await caller.send(request("/a/0", 0), denied, request("/a/2", 2))
        assert [(await caller.read())[0] for _ in range(3)] == [200, 401, 200]

    async def test_disconnect_ends_the_work_at_targets(self, harness):
        """Guards against targets that work for a caller that has gone."""
        caller = await open_caller(harness)
        await caller.send(*[request(f"/a/{number}", number) for number in range(4)])
        with trio.fail_after(WAIT_S):
            while len(harness.received_requests()) < 4:
                await trio.sleep(0.01)
            await caller.stream.aclose()
            started_s = trio.current_time()
            while harness.node.server.open_requests:
                await trio.sleep(0.01)
        assert trio.current_time() - started_s < WORK_S / 2
        assert not any(harness.node.pool.idle.values())
