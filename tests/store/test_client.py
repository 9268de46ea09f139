"""Test the object API client against malformed responses."""

import pytest
from result import Err

from wagtailbay.store import HttpObjectStore, OutcomeUnknown, StoreUnavailable
from wagtailbay.transport import HttpServer, Reply, Request


class TestMalformedResponses:
    """A malformed response is returned as an error value."""

    @pytest.mark.parametrize(
        "body", [b"", b"<html>", b"[]", b"3", b'{"revision": 1}', b"[" * 99_999]
    )
    async def test_malformed_response_is_an_error_value(self, nursery, body: bytes) -> None:
        """Guards against a platform response that stops the process."""

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_response(200, (), body)

        _, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        store = HttpObjectStore(f"127.0.0.1:{port}")
        reads = [
            await store.get("k"),
            await store.list(["k"]),
            await store.watch(["k"], 0, 10),
            await store.vms(),
        ]
        assert all(isinstance(read.err_value, StoreUnavailable) for read in reads)
        for write in (await store.put("k", 1, 0), await store.delete("k", 1)):
            assert isinstance(write, Err)
            assert isinstance(write.err_value, OutcomeUnknown)
