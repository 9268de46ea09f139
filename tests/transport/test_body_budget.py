"""Tests of the memory that request bodies take together (KNOWN-RED 7)."""

import h11
import trio

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import BodyBudget, HttpServer, Reply, Request

WAIT_S = 60
BODY_BYTES = 600_000


class HeldRequests:
    """Handler that holds each request until it is told to go on."""

    def __init__(self) -> None:
        self.running = 0
        self.peak = 0
        self.released = trio.Event()

    async def handle(self, request: Request, reply: Reply) -> None:
        """Count the requests that are held at the same time."""
        self.running += 1
        self.peak = max(self.peak, self.running)
        await self.released.wait()
        self.running -= 1
        await reply.send_response(200, (), str(len(request.body)).encode())


async def start_server(nursery, handler, **options) -> tuple[HttpServer, str]:
    """Start a server with room for one and a half bodies."""
    server = HttpServer(handler, body_budget=BodyBudget(1.5 * BODY_BYTES), **options)
    host, port = await nursery.start(server.serve, ("127.0.0.1", 0))
    return server, f"{host}:{port}"


async def upload(address: str, chunked: bool, statuses: list[int], size: int = BODY_BYTES) -> None:
    """Send a body and append the status of its response."""
    stream = await trio.open_tcp_stream(*split_address(address))
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    await stream.send_all(f"POST / HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode())
    body = b"x" * size
    await stream.send_all(b"%x\r\n%s\r\n0\r\n\r\n" % (size, body) if chunked else body)
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="POST", target="/", headers=[("Host", "h")]))
    protocol.send(h11.EndOfMessage())
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(65_536))
        else:
            statuses.append(event.status_code)
            return


class TestBodyBudget:
    """Bodies beyond the memory of the process wait, or are refused as not run."""

    async def test_bodies_wait_for_each_other(self, nursery):
        """Guards against a process that is killed because several large bodies came at once."""
        held, statuses = HeldRequests(), []
        server, address = await start_server(nursery, held.handle)
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as uploads:
                for _ in range(3):
                    uploads.start_soon(upload, address, False, statuses)
                while not held.running or len(server.readers) < 3:
                    await trio.sleep(0.01)
                await trio.sleep(0.2)
                assert held.peak == 1
                held.released.set()
        assert statuses == [200, 200, 200]
        assert server.body_budget.held_bytes == 0

    async def test_body_that_never_fits_in_time_is_refused(self, nursery):
        """Guards against callers that wait without end for memory."""
        held, statuses = HeldRequests(), []
        server, address = await start_server(nursery, held.handle, receive_timeout_s=0.3)
        with trio.fail_after(WAIT_S):
            nursery.start_soon(upload, address, False, [])
            while not held.running:
                await trio.sleep(0.01)
            await upload(address, False, statuses)
            assert statuses == [503]
            held.released.set()

    async def test_body_in_chunks_is_refused_without_room(self, nursery):
        """Guards against bodies without a stated length, which could wait for each other."""
        held, statuses = HeldRequests(), []
        server, address = await start_server(nursery, held.handle)
        with trio.fail_after(WAIT_S):
            nursery.start_soon(upload, address, True, [])
            while not held.running:
                await trio.sleep(0.01)
            await upload(address, True, statuses)
            assert statuses == [503]
            assert held.peak == 1
            held.released.set()

    async def test_body_above_the_budget_is_served_alone(self, nursery):
        """Guards against refusing a body that the configuration allows."""
        held, statuses = HeldRequests(), []
        held.released.set()
        server, address = await start_server(nursery, held.handle)
        with trio.fail_after(WAIT_S):
            await upload(address, False, statuses, 1_000_000)
        assert statuses == [200]
        assert server.body_budget.held_bytes == 0

    async def test_small_requests_do_not_wait_for_large_ones(self, nursery):
        """Guards against one large upload that delays or refuses all other callers."""
        held = HeldRequests()
        server, address = await start_server(nursery, held.handle, receive_timeout_s=0.2)
        with trio.fail_after(WAIT_S):
            nursery.start_soon(upload, address, False, [], 1_000_000)
            while not held.running:
                await trio.sleep(0.01)
            for chunked in (False, True):
                nursery.start_soon(upload, address, chunked, [], 1_000)
            nursery.start_soon(upload, address, False, [], 0)
            while held.running < 4:
                await trio.sleep(0.01)
            held.released.set()

    async def test_memory_is_given_back_when_a_caller_leaves(self, nursery):
        """Guards against a budget that shrinks with each broken upload."""
        held = HeldRequests()
        server, address = await start_server(nursery, held.handle)
        stream = await trio.open_tcp_stream(*split_address(address))
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        await stream.send_all(head.encode() + b"x")
        with trio.fail_after(WAIT_S):
            while not server.body_budget.held_bytes:
                await trio.sleep(0.01)
            await stream.aclose()
            while server.body_budget.held_bytes:
                await trio.sleep(0.01)
