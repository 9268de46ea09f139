"""Tests of bodies in very small chunks, which cost far more time than their bytes suggest."""

import h11
import trio
from result import Err, Ok
from transport.test_late_responses import serve_bytes
from transport.test_server_input import echo

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import FailureKind, HttpServer, Request, open_connection
from wagtailbay.transport.const import MAX_CHUNKS_BETWEEN_WAITS, MAX_DENSE_CHUNKS

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
END = b"0\r\n\r\n"
CHUNKS = 4_000
WAIT_S = 60


class StepCounter:
    """Task that counts how often other tasks get to run."""

    def __init__(self) -> None:
        self.steps = 0

    async def run(self) -> None:
        """Count until cancelled."""
        while True:
            await trio.lowlevel.checkpoint()
            self.steps += 1


async def receive_body(connection) -> tuple[int, object]:
    """Return the size of the body and its end, None or an error."""
    size_bytes = 0
    while True:
        match await connection.receive_chunk():
            case Ok(None):
                return size_bytes, None
            case Ok(data):
                size_bytes += len(data)
            case Err(error):
                return size_bytes, error


class TestSmallChunksOfTargets:
    """A response in very small chunks neither stalls the process nor goes on without end."""

    async def test_other_tasks_run_meanwhile(self, nursery):
        """Guards against one response that keeps all other callers waiting (KNOWN-RED 12)."""
        address = await serve_bytes(nursery, [HEAD + CHUNK * CHUNKS + END])
        connection = (await open_connection(address, 30_000)).ok_value
        assert isinstance(await connection.send(Request("GET", "/")), Ok)
        await trio.sleep(0.1)
        counter = StepCounter()
        nursery.start_soon(counter.run)
        with trio.fail_after(WAIT_S):
            assert await receive_body(connection) == (CHUNKS, None)
        assert counter.steps >= CHUNKS / MAX_CHUNKS_BETWEEN_WAITS

    async def test_chunks_without_end_are_cut(self, nursery):
        """Guards against a response that takes processor time until the deadline."""
        address = await serve_bytes(nursery, [HEAD + CHUNK * (3 * MAX_DENSE_CHUNKS)])
        connection = (await open_connection(address, 30_000)).ok_value
        assert isinstance(await connection.send(Request("GET", "/")), Ok)
        with trio.fail_after(WAIT_S):
            size_bytes, error = await receive_body(connection)
        assert error.kind is FailureKind.TOO_LARGE
        assert size_bytes <= 2 * MAX_DENSE_CHUNKS

    async def test_slow_stream_of_small_chunks_is_not_cut(self, nursery):
        """Guards against cutting a long stream whose chunks arrive one by one."""
        connection = (await open_connection(await serve_bytes(nursery, [HEAD]), 30_000)).ok_value
        assert isinstance(await connection.send(Request("GET", "/")), Ok)
        for _ in range(2 * MAX_DENSE_CHUNKS):
            connection.protocol.receive_data(CHUNK)
            assert connection.receive_chunk_nowait() == Ok(b"x")
            connection.chunks_since_wait = 0  # As after each wait for the next bytes.


class TestSmallChunksOfCallers:
    """A request body in very small chunks does not stall the process."""

    async def test_other_tasks_run_meanwhile(self, nursery):
        """Guards against one caller that keeps all others waiting."""
        server = HttpServer(echo)
        host, port = await nursery.start(server.serve, ("127.0.0.1", 0))
        stream = await trio.open_tcp_stream(*split_address(f"{host}:{port}"))
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await stream.send_all(head + CHUNK * CHUNKS)
        await trio.sleep(0.1)
        counter = StepCounter()
        nursery.start_soon(counter.run)
        await stream.send_all(END)
        protocol = h11.Connection(h11.CLIENT)
        with trio.fail_after(WAIT_S):
            protocol.receive_data(await stream.receive_some(65_536))
        assert counter.steps >= CHUNKS / MAX_CHUNKS_BETWEEN_WAITS
