"""Tests of errors around pipelined requests: in handlers, in the policy and in cut responses."""

import pytest
import trio
from support.pipelining import get


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
