"""Tests of errors around pipelined requests: in handlers, in the policy and in cut responses."""

import pytest
import trio
from support.pipelining import WAIT_S, get

from wagtailbay.transport import RunAhead
from wagtailbay.transport.const import MAX_PIPELINED_PER_CONNECTION


async def respond_to_rest(service, request, reply) -> None:
    """Respond as the service does, except to ``/special``."""
    if request.path != "/special":
        await service.handle(request, reply)


class TestCutUnframedResponse:
    """Only a complete response without a length may end with a proper close."""

    @pytest.mark.parametrize("behind", [[], ["b"], ["once"]])
    async def test_cut_response_resets_the_connection(self, service, caller, behind):
        """Guards against a caller that takes a part for the whole because requests wait."""

        async def handle(request, reply) -> None:
            await respond_to_rest(service, request, reply)
            if request.path == "/special":
                await reply.start(200, (), until_close=True)
                await reply.send(b"part")
                await trio.sleep(0.1)

        service.server.handler = handle
        await caller.send(get("special"), *map(get, behind))
        with pytest.raises(trio.BrokenResourceError):
            await caller.read_rest()


class TestErrorAfterResponse:
    """A handler that fails after its response does not change the response."""

    @pytest.mark.parametrize("paths", [["special"], ["a", "special"]])
    async def test_complete_response_is_kept(self, service, caller, paths):
        """Guards against an error response in place of one that is ready."""

        async def handle(request, reply) -> None:
            await respond_to_rest(service, request, reply)
            if request.path == "/special":
                await reply.send_response(200, (), b"whole")
                raise ValueError("a fault behind the response")

        service.server.handler = handle
        service.hold("a")
        await caller.send(*map(get, paths))
        await trio.sleep(0.1)
        service.gates["a"].set()
        responses = [await caller.read() for _ in paths]
        assert [status for status, _, _ in responses] == [200] * len(paths)
        assert responses[-1][2] == "whole"
        assert await caller.read_rest() == b""


class TestFailingPolicy:
    """A fault in the decision which requests run ahead leaves them to their turn."""

    async def test_requests_run_in_turn(self, service, caller):
        """Guards against a connection that ends, and a limit that is used up, by a fault."""

        class FailingPolicy:
            def may_run_ahead(self, request) -> bool:
                if request.path == "/b":
                    raise ValueError("a fault in the policy")
                return True

        service.server.run_ahead.policy = FailingPolicy()
        service.hold("a")
        await caller.send(get("a"))
        await service.wait_begun("a")
        await caller.send(get("c"))
        await service.wait_begun("a", "c")
        await caller.send(get("b"), get("d"))
        await trio.sleep(0.05)
        service.gates["a"].set()
        assert await caller.read_bodies(4) == ["a", "c", "b", "d"]

    async def test_failed_reader_gives_back_the_limit(self, service, caller, monkeypatch):
        """Guards against a limit that shrinks with each connection whose reader task fails."""
        allows = RunAhead.allows

        def fail(run_ahead, request) -> bool:
            if request.path == "/fault":
                raise ValueError("a fault in the reader task")
            return allows(run_ahead, request)

        monkeypatch.setattr(RunAhead, "allows", fail)
        service.hold("a")
        await caller.send(get("a"), get("c"))
        await service.wait_begun("a", "c")
        await caller.send(get("fault"))
        with trio.fail_after(WAIT_S):
            while service.server.connections:
                await trio.sleep(0.01)
        assert service.server.run_ahead.running == 0


class TestUnparsedBytes:
    """What a caller sends ahead is kept once."""

    async def test_held_replies_keep_no_input(self, service, caller):
        """Guards against a copy of all unparsed bytes for each request that runs ahead."""
        replies = []

        async def handle(request, reply) -> None:
            replies.append(reply)
            await service.handle(request, reply)

        service.server.handler = handle
        service.hold("a")
        await caller.send(get("a"))
        await service.wait_begun("a")
        paths = [f"p{number}" for number in range(400)]
        await caller.send(*map(get, paths))
        with trio.fail_after(WAIT_S):
            while len(replies) < MAX_PIPELINED_PER_CONNECTION:
                await trio.sleep(0.01)
        kept_bytes = [len(reply.protocol.trailing_data[0]) for reply in replies]
        assert kept_bytes == [0] * MAX_PIPELINED_PER_CONNECTION
        service.gates["a"].set()
        assert await caller.read_bodies(401) == ["a", *paths]
