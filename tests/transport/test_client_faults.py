"""Test the HTTP client against malformed and unexpected server output."""

from functools import partial

import pytest
import trio

from wagtailbay.transport import ConnectionPool, FailureKind, Request
from wagtailbay.transport.client import ClientConnection

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
OK_RESPONSE = STATUS_LINE + b"Content-Length: 2\r\n\r\nok"


async def serve_bytes(responses: list[bytes], stream: trio.SocketStream) -> None:
    """Send the next response after each receive; close after the last."""
    for response in responses:
        if not await stream.receive_some(65_536):
            return
        await stream.send_all(response)
    await trio.aclose_forcefully(stream)


async def start_server(nursery, responses: list[bytes]) -> str:
    """Start a server and return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, partial(serve_bytes, responses), listeners)
    host, port = listeners[0].socket.getsockname()
    return f"{host}:{port}"


async def connect(nursery, *responses: bytes) -> ClientConnection:
    """Open a connection to a server that sends the given responses."""
    return (
        await ConnectionPool().acquire(await start_server(nursery, list(responses)), 500, "id-1")
    ).ok_value


async def exchange(connection: ClientConnection, method: str = "GET"):
    """Send a request and return status and body, or the kind of failure."""
    head = await connection.send(Request(method, "/"))
    if head.is_err():
        return head.err_value.kind
    body = b""
    while (chunk := await connection.receive_chunk()).is_ok() and chunk.ok_value is not None:
        body += chunk.ok_value
    return (head.ok_value.status, body) if chunk.is_ok() else chunk.err_value.kind


class TestMalformedResponses:
    """Only a complete and unambiguous response is accepted."""

    @pytest.mark.parametrize(
        ("response", "expected"),
        [
            (OK_RESPONSE, (200, b"ok")),
            (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK_RESPONSE, (200, b"ok")),
            (STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", (200, b"ok")),
            (
                STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
                (200, b"ok"),
            ),
            (b"HTTP/1.1 204 No Content\r\n\r\n", (204, b"")),
            (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", (304, b"")),
            (STATUS_LINE + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", (200, b"ok")),
            (b"", FailureKind.CLOSED),
            (STATUS_LINE, FailureKind.TRUNCATED),
            (STATUS_LINE + b"Content-Length: 9\r\n\r\nok", FailureKind.TRUNCATED),
            (STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", FailureKind.TRUNCATED),
            (STATUS_LINE + b"\r\nended by close", FailureKind.PROTOCOL),
            (
                STATUS_LINE + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
                FailureKind.PROTOCOL,
            ),
            (STATUS_LINE + b"Content-Length: -2\r\n\r\nok", FailureKind.PROTOCOL),
            (
                STATUS_LINE
                + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                FailureKind.PROTOCOL,
            ),
            (STATUS_LINE + b"Transfer-Encoding: gzip\r\n\r\nok", FailureKind.PROTOCOL),
            (STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n", FailureKind.PROTOCOL),
            (
                b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                FailureKind.PROTOCOL,
            ),
            (b"HTTP/1.1 103 Hints\r\n\r\n" * 20 + OK_RESPONSE, FailureKind.PROTOCOL),
            (STATUS_LINE + b"X: " + b"x" * 40_000 + b"\r\n\r\n", FailureKind.PROTOCOL),
            (STATUS_LINE + b"X\x00: 1\r\n\r\n", FailureKind.PROTOCOL),
            (b"\x16\x03\x01 not HTTP\r\n\r\n", FailureKind.PROTOCOL),
        ],
    )
    async def test_response_classification(
        self, nursery, response: bytes, expected: object
    ) -> None:
        """Guards against accepting a truncated or ambiguous response as complete."""
        assert await exchange(await connect(nursery, response)) == expected

    async def test_head_has_no_body(self, nursery) -> None:
        """Guards against waiting for the body of a HEAD response, which has none."""
        connection = await connect(nursery, STATUS_LINE + b"Content-Length: 9\r\n\r\n", OK_RESPONSE)
        assert await exchange(connection, "HEAD") == (200, b"")
        assert connection.prepare_for_reuse()
        assert await exchange(connection) == (200, b"ok")

    @pytest.mark.parametrize(
        "response",
        [
            OK_RESPONSE + b"more",
            OK_RESPONSE + OK_RESPONSE,
            OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        ],
    )
    async def test_excess_bytes_prevent_reuse(self, nursery, response: bytes) -> None:
        """Guards against reading excess bytes of one response as the next response."""
        connection = await connect(nursery, response)
        assert await exchange(connection) == (200, b"ok")
        assert not connection.prepare_for_reuse()


class TestStatuses:
    """Only a final status from 200 to 599 is a response."""

    @pytest.mark.parametrize("status", [200, 299, 499, 599])
    async def test_valid_status_is_accepted(self, nursery, status: int) -> None:
        """Guards against a status check that rejects the first or last valid status."""
        response = OK_RESPONSE.replace(b"200", str(status).encode())
        assert await exchange(await connect(nursery, response)) == (status, b"ok")

    @pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
    async def test_invalid_status_is_a_broken_response(self, nursery, status: bytes) -> None:
        """Guards against passing a status to a caller that HTTP does not define."""
        connection = await connect(nursery, OK_RESPONSE.replace(b"200", status))
        assert await exchange(connection) is FailureKind.PROTOCOL

    async def test_invalid_status_after_an_informational_one(self, nursery) -> None:
        """Guards against a check that is passed over once an interim response was skipped."""
        response = b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE.replace(b"200", b"600")
        assert await exchange(await connect(nursery, response)) is FailureKind.PROTOCOL


class TestPooledConnection:
    """A pooled connection delivers a response only to its own request."""

    async def test_unread_bytes_fail_the_request(self, nursery) -> None:
        """Guards against accepting a response that was received before its request."""
        connection = await connect(nursery, OK_RESPONSE, OK_RESPONSE)
        assert await exchange(connection) == (200, b"ok")
        assert connection.prepare_for_reuse()
        await connection.stream.send_all(b"provoke")
        await trio.sleep(0.02)
        head = await connection.send(Request("GET", "/"))
        assert (head.err_value.kind, head.err_value.request_sent) == (FailureKind.PROTOCOL, False)

    async def test_pool_discards_connection_with_unread_bytes(self, nursery) -> None:
        """Guards against losing a request on a connection with unexpected bytes."""
        address = await start_server(nursery, [OK_RESPONSE, OK_RESPONSE])
        pool = ConnectionPool()
        first = (await pool.acquire(address, 500, "id-1")).ok_value
        await exchange(first)
        await pool.release(first)
        await first.stream.send_all(b"provoke")
        await trio.sleep(0.02)
        second = (await pool.acquire(address, 500, "id-2")).ok_value
        assert second is not first

    async def test_timed_out_connection_is_not_pooled(self, nursery) -> None:
        """Guards against delivering the late response of a timed-out request to another one."""

        async def serve_late(stream: trio.SocketStream) -> None:
            while await stream.receive_some(65_536):
                await trio.sleep(0.1)
                await stream.send_all(OK_RESPONSE.replace(b"ok", b"no"))

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve_late, listeners)
        address = "127.0.0.1:" + str(listeners[0].socket.getsockname()[1])
        pool = ConnectionPool()
        first = (await pool.acquire(address, 500, "id-1")).ok_value
        with trio.move_on_after(0.05):
            await first.send(Request("GET", "/first"))
        await pool.release(first)
        assert pool.idle[address] == []

    async def test_fresh_connection_bypasses_pool(self, nursery) -> None:
        """Guards against sending a deposit on a connection that the server closed as idle."""
        address = await start_server(nursery, [OK_RESPONSE, OK_RESPONSE])
        pool = ConnectionPool()
        first = (await pool.acquire(address, 500, "id-1")).ok_value
        await exchange(first)
        await pool.release(first)
        assert (await pool.acquire(address, 500, "id-2", fresh=True)).ok_value is not first
