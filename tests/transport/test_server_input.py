"""Test the HTTP server against malformed input and misbehaving callers."""

import re

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from wagtailbay.invariants import BrokenInvariantError
from wagtailbay.settings.checks import split_address
from wagtailbay.transport import HttpServer, Reply, Request
from wagtailbay.transport.receive import RequestReceiver

GOOD_REQUEST = b"GET /good HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def echo(request: Request, reply: Reply) -> None:
    """Reply with method, path and body size; some paths raise an error."""
    if request.path == "/raise":
        raise KeyError("unexpected handler error")
    if request.path == "/raise-late":
        await reply.start(200, (("Content-Length", "5"),))
        await reply.send(b"ab")
        raise KeyError("unexpected handler error")
    if request.path == "/invariant":
        raise BrokenInvariantError("inconsistent state")
    await reply.send_json(200, [request.method, request.path, len(request.body)])


async def start_server(nursery, handler=echo) -> tuple[HttpServer, str]:
    """Start a server and return it with its address."""
    server = HttpServer(handler)
    host, port = await nursery.start(server.serve, ("127.0.0.1", 0))
    return server, f"{host}:{port}"


async def send_and_receive(address: str, *parts: bytes) -> bytes:
    """Send data in parts and return everything received until the server closes."""
    stream = await trio.open_tcp_stream(*split_address(address))
    received = b""
    with trio.move_on_after(3):
        try:
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(0.001)
            async for data in stream:
                received += data
        except trio.BrokenResourceError:
            received += b"<reset>"
    await trio.aclose_forcefully(stream)
    return received


def raw_request(head: str, body: bytes = b"") -> bytes:
    """Encode a request that asks to close the connection."""
    return f"{head}\r\nHost: x\r\nConnection: close\r\n\r\n".encode("latin-1") + body


class TestMalformedRequests:
    """A request that two parsers could interpret differently is rejected as not run."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (
                raw_request("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked"),
                400,
            ),
            (
                raw_request("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6", b"thesis"),
                400,
            ),
            (raw_request("POST / HTTP/1.1\r\nContent-Length: 5, 6", b"thesis"), 400),
            (raw_request("POST / HTTP/1.1\r\nContent-Length: +5", b"thesi"), 400),
            (raw_request("POST / HTTP/1.1\r\nTransfer-Encoding: xchunked"), 501),
            (
                raw_request(
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x"
                ),
                501,
            ),
            (raw_request("POST / HTTP/1.1\r\nTransfer-Encoding : chunked"), 400),
            (raw_request("POST / HTTP/1.1\r\nTransfer-Encoding: chunked", b"zz\r\n"), 400),
            (raw_request("GET / HTTP/1.1\r\nHost: y"), 400),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (raw_request("GET / HTTP/1.0"), 505),
            (raw_request("CONNECT x:1 HTTP/1.1"), 400),
            (raw_request("GET /\xe9 HTTP/1.1"), 400),
            (raw_request("GET /a b HTTP/1.1"), 400),
            (raw_request("GET / HTTP/1.1\r\nX: a\x00b"), 400),
            (raw_request("GET / HTTP/1.1\r\nX\xe9: 1"), 400),
            (raw_request("GET / HTTP/1.1\r\nX: " + "x" * 40_000), 431),
            (
                raw_request("GET / HTTP/1.1\r\n" + "\r\n".join(f"X-{i}: 1" for i in range(120))),
                431,
            ),
            (
                raw_request("POST / HTTP/1.1\r\nContent-Length: 3000000", b"x" * 1_500_000),
                413,
            ),
            (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        ],
    )
    async def test_rejected_as_not_run(self, nursery, data: bytes, status: int) -> None:
        """Guards against request smuggling, unbounded memory use and unseen error responses."""
        _, address = await start_server(nursery)
        response = await send_and_receive(address, data)
        assert response.startswith(f"HTTP/1.1 {status} ".encode())
        assert b"Wagtailbay-Run: not-run" in response
        assert len(re.findall(rb"^HTTP/1.1 \d{3} ", response, re.MULTILINE)) == 1
        assert (await send_and_receive(address, GOOD_REQUEST)).startswith(b"HTTP/1.1 200")

    @settings(
        derandomize=True,
        max_examples=150,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.binary(max_size=200)
        | st.lists(
            st.sampled_from(
                [b"GET ", b"POST ", b"/a", b" HTTP/1.1\r\n", b"Host: x\r\n", b"\r\n", b"0\r\n\r\n"]
                + [
                    b"Content-Length: 3\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"\x00",
                    b"\n",
                    b"3\r\n",
                ]
                + [b"Connection: close\r\n", b"Expect: 100-continue\r\n", b"Upgrade: x\r\n", b"abc"]
            ),
            max_size=12,
        ).map(b"".join)
    )
    def test_random_bytes_leave_the_server_alive(self, data: bytes) -> None:
        """Guards against input that stops the process or affects the next connection."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                server, address = await start_server(nursery)
                stream = await trio.open_tcp_stream(*split_address(address))
                await stream.send_all(data)
                await stream.send_eof()
                with trio.move_on_after(0.002):
                    async for _ in stream:
                        pass
                await trio.aclose_forcefully(stream)
                assert (await send_and_receive(address, GOOD_REQUEST)).startswith(b"HTTP/1.1 200")
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestConnections:
    """A failure on one connection does not affect others."""

    async def test_pipelined_requests_are_answered_in_order(self, nursery) -> None:
        """Guards against pipelined requests that are lost or answered out of order."""
        _, address = await start_server(nursery)
        data = b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(5)) + GOOD_REQUEST
        response = await send_and_receive(address, data[:70], data[70:])
        paths = [line for line in response.splitlines() if line.startswith(b"[")]
        assert paths == [b'["GET", "/%d", 0]' % i for i in range(5)] + [b'["GET", "/good", 0]']

    @pytest.mark.parametrize("path", ["/a", "/raise"])
    async def test_head_gets_no_body(self, nursery, path: str) -> None:
        """Guards against a body that the caller would read as the next response."""
        _, address = await start_server(nursery)
        response = await send_and_receive(address, raw_request(f"HEAD {path} HTTP/1.1"))
        assert response.endswith(b"\r\n\r\n")

    async def test_handler_error_closes_only_its_connection(self, nursery) -> None:
        """Guards against an unhandled error in one request that stops the VM."""
        _, address = await start_server(nursery)
        response = await send_and_receive(address, raw_request("GET /raise HTTP/1.1"))
        assert response.startswith(b"HTTP/1.1 500")
        assert b"Wagtailbay-Run: unknown" in response
        cut = await send_and_receive(address, raw_request("GET /raise-late HTTP/1.1"))
        assert cut.endswith(b"\r\n\r\nab"), "the rest of the body must be missing"
        assert (await send_and_receive(address, GOOD_REQUEST)).startswith(b"HTTP/1.1 200")

    async def test_broken_invariant_stops_the_server(self) -> None:
        """Guards against a process that continues with inconsistent state."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                _, address = await start_server(nursery)
                await send_and_receive(address, raw_request("GET /invariant HTTP/1.1"))

        with pytest.raises(BaseExceptionGroup) as caught:
            await run()
        assert caught.group_contains(BrokenInvariantError)

    async def test_caller_disconnect_cancels_handler(self, nursery) -> None:
        """Guards against processing requests of disconnected callers."""
        cancelled = trio.Event()

        async def slow(request: Request, reply: Reply) -> None:
            try:
                await trio.sleep_forever()
            except trio.Cancelled:
                cancelled.set()
                raise

        server, address = await start_server(nursery, slow)
        stream = await trio.open_tcp_stream(*split_address(address))
        await stream.send_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await trio.sleep(0.02)
        await trio.aclose_forcefully(stream)
        with trio.fail_after(2):
            await cancelled.wait()
            while server.connections:
                await trio.sleep(0.001)
        assert (server.aborted_requests, server.open_requests) == (1, 0)


class TestUnexpectedErrors:
    """An unexpected error outside of a handler ends its connection only."""

    async def test_other_connections_are_served(self, nursery, monkeypatch):
        """Guards against a process that ends because of one connection."""
        _, address = await start_server(nursery)

        async def fail(receiver):
            raise RuntimeError("unexpected receiver error")

        with monkeypatch.context() as patch:
            patch.setattr(RequestReceiver, "receive", fail)
            await send_and_receive(address, GOOD_REQUEST)
        assert b"200" in await send_and_receive(address, GOOD_REQUEST)
