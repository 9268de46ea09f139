"""Tests of a server that stops while callers send requests."""

import trio
from transport.test_server_input import GOOD_REQUEST, echo

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import HttpServer, Reply, Request

WAIT_S = 30
KEPT_REQUEST = GOOD_REQUEST.replace(b"Connection: close\r\n", b"")


async def start_server(nursery, handler=echo) -> tuple[HttpServer, str]:
    """Start a server and return it with its address."""
    server = HttpServer(handler)
    host, port = await nursery.start(server.serve, ("127.0.0.1", 0))
    return server, f"{host}:{port}"


async def receive_all(stream: trio.SocketStream) -> bytes:
    """Return everything received until the server closes; a reset is appended."""
    received = b""
    with trio.fail_after(WAIT_S):
        try:
            async for data in stream:
                received += data
        except trio.BrokenResourceError:
            received += b"<reset>"
    return received


class TestServerStop:
    """A request that has arrived is served, and no connection is reset."""

    async def test_request_on_an_idle_connection_is_served(self, nursery):
        """Guards against resetting a connection whose request has arrived but was not read."""
        server, address = await start_server(nursery)
        stream = await trio.open_tcp_stream(*split_address(address))
        await stream.send_all(KEPT_REQUEST)
        assert b"200" in await stream.receive_some(65_536)
        with trio.fail_after(WAIT_S):
            while not any(reader.idle for reader in server.readers):
                await trio.sleep(0.01)
        # Sent and closed without letting the server's tasks run in between.
        stream.socket._sock.send(KEPT_REQUEST)
        server.draining.set()
        server.close_idle()
        received = await receive_all(stream)
        assert received.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in received.lower()

    async def test_connection_in_the_backlog_is_served(self, nursery):
        """Guards against resetting connections that were established but not accepted yet."""
        server, address = await start_server(nursery)
        streams = []
        with trio.CancelScope():
            for _ in range(20):
                stream = await trio.open_tcp_stream(*split_address(address))
                stream.socket._sock.send(GOOD_REQUEST)
                streams.append(stream)
            server.stop_accepting()
            server.draining.set()
        with trio.fail_after(WAIT_S):
            await server.drain()
        for stream in streams:
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 200")
        assert server.connections == 0

    async def test_stopped_server_refuses_connections(self, nursery):
        """Guards against accepting requests that the end of the process cuts off."""
        server, address = await start_server(nursery)
        server.stop_accepting()
        server.draining.set()
        await server.drain()
        try:
            await trio.open_tcp_stream(*split_address(address))
        except OSError:
            return
        raise AssertionError("the connection was accepted")

    async def test_drain_waits_for_a_running_request(self, nursery):
        """Guards against closing a connection whose request is being served."""
        release = trio.Event()

        async def wait(request: Request, reply: Reply) -> None:
            await release.wait()
            await reply.send_json(200, "done")

        server, address = await start_server(nursery, wait)
        stream = await trio.open_tcp_stream(*split_address(address))
        await stream.send_all(KEPT_REQUEST)
        with trio.fail_after(WAIT_S):
            while not server.open_requests:
                await trio.sleep(0.01)
        server.stop_accepting()
        server.draining.set()
        with trio.move_on_after(0.2):
            await server.drain()
        assert server.connections == 1
        release.set()
        assert (await receive_all(stream)).startswith(b"HTTP/1.1 200")
        await server.drain()
