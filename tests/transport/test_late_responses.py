"""Test stale responses, responses without a length, and accepting connections."""

import pytest
import trio
from result import Err, Ok

from wagtailbay.transport import Request, accept_connections, open_connection, open_listener
from wagtailbay.transport.sockets import is_closed_by_peer, receive, reset_on_close


async def serve_bytes(nursery: trio.Nursery, responses: list[bytes], abort: bool = False) -> str:
    """Start a server that answers each request with the next bytes; return its address."""

    async def serve(stream: trio.SocketStream) -> None:
        for data in responses:
            await stream.receive_some(65_536)
            await stream.send_all(data)
        if not abort:
            await stream.aclose()
            return
        await trio.sleep(0.05)
        reset_on_close(stream)
        stream.socket.close()

    listener = open_listener(("127.0.0.1", 0))
    host, port = listener.getsockname()
    nursery.start_soon(accept_connections, listener, serve, nursery)
    return f"{host}:{port}"


def encode_response(request_id: str, body: bytes) -> bytes:
    """Encode a response."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_body(connection) -> bytes | None:
    """Return the whole body, or None if it was truncated."""
    body = b""
    while True:
        match await connection.receive_chunk():
            case Err(_):
                return None
            case Ok(None):
                return body
            case Ok(data):
                body += data


class TestStaleResponses:
    """Responses to earlier requests can be skipped."""

    async def test_stale_response_is_skipped(self, nursery):
        """Guards against delivering the response of another request to a caller."""
        address = await serve_bytes(
            nursery, [encode_response("old", b"no") + encode_response("own", b"yes")]
        )
        connection = (await open_connection(address, 30_000)).ok_value
        head = (await connection.send(Request("GET", "/"))).ok_value
        assert head.header("Request-Id") == "old"
        head = (await connection.skip_response()).ok_value
        assert head.header("Request-Id") == "own"
        assert await read_body(connection) == b"yes"


class TestUnframedResponses:
    """Responses without a length end when the connection closes."""

    async def test_clean_close_completes_response(self, nursery):
        """Guards against rejecting a complete response without a length."""
        address = await serve_bytes(nursery, [b"HTTP/1.1 200 OK\r\n\r\nbody"])
        connection = (await open_connection(address, 30_000)).ok_value
        connection.allow_unframed = True
        assert isinstance(await connection.send(Request("GET", "/")), Ok)
        assert await read_body(connection) == b"body"
        assert not connection.prepare_for_reuse()

    async def test_reset_truncates_response(self, nursery):
        """Guards against accepting a truncated response as complete."""
        address = await serve_bytes(nursery, [b"HTTP/1.1 200 OK\r\n\r\nbody"], abort=True)
        connection = (await open_connection(address, 30_000)).ok_value
        connection.allow_unframed = True
        assert isinstance(await connection.send(Request("GET", "/")), Ok)
        assert await read_body(connection) is None


class TestClosedStream:
    """A stream that this process has closed itself ends like one that failed."""

    async def test_receive_on_a_closed_stream_is_an_expected_error(self, nursery):
        """Guards against an unexpected error of a reader whose connection was just closed.

        Beside a cancellation of the server, that error ended the process.
        """
        address = await serve_bytes(nursery, [])
        connection = (await open_connection(address, 30_000)).ok_value
        await connection.close()
        with pytest.raises(trio.ClosedResourceError):
            await receive(connection.stream, 100)


class TestAccept:
    """Connections are accepted promptly, and closed ones are detected."""

    async def test_accepts_many_connections_per_wakeup(self, nursery):
        """Guards against callers waiting in the listen backlog of a busy VM."""
        accepted = []

        async def serve(stream: trio.SocketStream) -> None:
            accepted.append(stream)

        listener = open_listener(("127.0.0.1", 0))
        streams = [await trio.open_tcp_stream(*listener.getsockname()) for _ in range(40)]
        nursery.start_soon(accept_connections, listener, serve, nursery)
        with trio.fail_after(30):
            while len(accepted) < len(streams):
                await trio.lowlevel.checkpoint()

    async def test_peer_close_is_detected_without_reading(self, nursery):
        """Guards against forwarding a request whose caller has disconnected."""
        accepted = []

        async def serve(stream: trio.SocketStream) -> None:
            accepted.append(stream)

        listener = open_listener(("127.0.0.1", 0))
        nursery.start_soon(accept_connections, listener, serve, nursery)
        caller = await trio.open_tcp_stream(*listener.getsockname())
        with trio.fail_after(30):
            while not accepted:
                await trio.sleep(0.005)
            assert not is_closed_by_peer(accepted[0])
            await caller.send_all(b"GET / HTTP/1.1\r\n")
            await caller.aclose()
            while not is_closed_by_peer(accepted[0]):
                await trio.sleep(0.005)
