"""Test what a client makes of faulty servers, byte by byte."""

from functools import partial

import pytest
import trio

from wagtailbay.transport import ConnectionPool, FailureKind, Request
from wagtailbay.transport.client import ClientConnection

HEAD = b"HTTP/1.1 200 OK\r\n"
GOOD = HEAD + b"Content-Length: 2\r\n\r\nok"


async def serve_bytes(answers: list[bytes], stream: trio.SocketStream) -> None:
    """Answer each received part with the next bytes; close after the last."""
    for answer in answers:
        if not await stream.receive_some(65_536):
            return
        await stream.send_all(answer)
    await trio.aclose_forcefully(stream)


async def start(nursery, answers: list[bytes]) -> str:
    """Start a server and return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, partial(serve_bytes, answers), listeners)
    host, port = listeners[0].socket.getsockname()
    return f"{host}:{port}"


async def connect(nursery, *answers: bytes) -> ClientConnection:
    """Open a connection to a server that gives these answers."""
    return (await ConnectionPool().acquire(await start(nursery, list(answers)), 500)).ok_value


async def exchange(connection: ClientConnection, method: str = "GET"):
    """Return status and body, or the kind of failure."""
    head = await connection.send(Request(method, "/"))
    if head.is_err():
        return head.err_value.kind
    body = b""
    while (chunk := await connection.receive_chunk()).is_ok() and chunk.ok_value is not None:
        body += chunk.ok_value
    return (head.ok_value.status, body) if chunk.is_ok() else chunk.err_value.kind


class TestFaultyAnswers:
    """Only a complete and unambiguous answer is taken for one."""

    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            (GOOD, (200, b"ok")),
            (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + GOOD, (200, b"ok")),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", (200, b"ok")),
            (
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
                (200, b"ok"),
            ),
            (b"HTTP/1.1 204 No Content\r\n\r\n", (204, b"")),
            (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", (304, b"")),
            (HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", (200, b"ok")),
            (b"", FailureKind.CLOSED),
            (HEAD, FailureKind.TRUNCATED),
            (HEAD + b"Content-Length: 9\r\n\r\nok", FailureKind.TRUNCATED),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", FailureKind.TRUNCATED),
            (HEAD + b"\r\nended by close", FailureKind.PROTOCOL),
            (HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", FailureKind.PROTOCOL),
            (HEAD + b"Content-Length: -2\r\n\r\nok", FailureKind.PROTOCOL),
            (
                HEAD
                + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                FailureKind.PROTOCOL,
            ),
            (HEAD + b"Transfer-Encoding: gzip\r\n\r\nok", FailureKind.PROTOCOL),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n", FailureKind.PROTOCOL),
            (
                b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                FailureKind.PROTOCOL,
            ),
            (b"HTTP/1.1 103 Hints\r\n\r\n" * 20 + GOOD, FailureKind.PROTOCOL),
            (HEAD + b"X: " + b"x" * 40_000 + b"\r\n\r\n", FailureKind.PROTOCOL),
            (HEAD + b"X\x00: 1\r\n\r\n", FailureKind.PROTOCOL),
            (b"\x16\x03\x01 not HTTP\r\n\r\n", FailureKind.PROTOCOL),
        ],
    )
    async def test_answer(self, nursery, answer: bytes, expected: object) -> None:
        """Guards against a truncated or ambiguous answer that passes for a complete one."""
        assert await exchange(await connect(nursery, answer)) == expected

    async def test_head_has_no_body(self, nursery) -> None:
        """Guards against waiting for a body that HEAD never has."""
        connection = await connect(nursery, HEAD + b"Content-Length: 9\r\n\r\n", GOOD)
        assert await exchange(connection, "HEAD") == (200, b"")
        assert connection.recycle()
        assert await exchange(connection) == (200, b"ok")

    @pytest.mark.parametrize(
        "answer",
        [GOOD + b"more", GOOD + GOOD, GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")],
    )
    async def test_over_long_answer_ends_the_connection(self, nursery, answer: bytes) -> None:
        """Guards against bytes of one answer taken for the next one."""
        connection = await connect(nursery, answer)
        assert await exchange(connection) == (200, b"ok")
        assert not connection.recycle()


class TestPooledConnection:
    """A pooled connection carries an answer to its own request only."""

    async def test_bytes_before_the_request_are_refused(self, nursery) -> None:
        """Guards against an answer that was sent before its request."""
        connection = await connect(nursery, GOOD, GOOD)
        assert await exchange(connection) == (200, b"ok")
        assert connection.recycle()
        await connection.stream.send_all(b"provoke")
        await trio.sleep(0.02)
        head = await connection.send(Request("GET", "/"))
        assert (head.err_value.kind, head.err_value.request_sent) == (FailureKind.PROTOCOL, False)

    async def test_connection_with_bytes_is_not_taken_from_the_pool(self, nursery) -> None:
        """Guards against a request lost on a connection that is known to be bad."""
        address = await start(nursery, [GOOD, GOOD])
        pool = ConnectionPool()
        first = (await pool.acquire(address, 500)).ok_value
        await exchange(first)
        await pool.release(first)
        await first.stream.send_all(b"provoke")
        await trio.sleep(0.02)
        second = (await pool.acquire(address, 500)).ok_value
        assert second is not first

    async def test_late_answer_never_reaches_another_request(self, nursery) -> None:
        """Guards against an answer that arrives after the timeout of its request."""

        async def serve_late(stream: trio.SocketStream) -> None:
            while await stream.receive_some(65_536):
                await trio.sleep(0.1)
                await stream.send_all(GOOD.replace(b"ok", b"no"))

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve_late, listeners)
        address = "127.0.0.1:" + str(listeners[0].socket.getsockname()[1])
        pool = ConnectionPool()
        first = (await pool.acquire(address, 500)).ok_value
        with trio.move_on_after(0.05):
            await first.send(Request("GET", "/first"))
        await pool.release(first)
        assert pool.idle[address] == []

    async def test_fresh_connection_skips_the_pool(self, nursery) -> None:
        """Guards against a deposit that meets a connection closed as idle."""
        address = await start(nursery, [GOOD, GOOD])
        pool = ConnectionPool()
        first = (await pool.acquire(address, 500)).ok_value
        await exchange(first)
        await pool.release(first)
        assert (await pool.acquire(address, 500, fresh=True)).ok_value is not first
