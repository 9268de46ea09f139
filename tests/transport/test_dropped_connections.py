"""Test pooled connections to a server that silently drops idle connections."""

from itertools import count

import trio

from wagtailbay.transport import ConnectionPool, Request
from wagtailbay_bench.caller_pool import CallerPool

REQUEST = Request("GET", "/")
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
IDLE_TIMEOUT_S = 0.15
request_numbers = count()


class IdleResettingServer:
    """Server that resets a connection when a request arrives after too long an idle time."""

    def __init__(self) -> None:
        self.resets = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        last_response_s = trio.current_time()
        async for _ in stream:
            if trio.current_time() - last_response_s > IDLE_TIMEOUT_S:
                self.resets += 1
                await trio.aclose_forcefully(stream)
                return
            await stream.send_all(RESPONSE)
            last_response_s = trio.current_time()


class TestDroppedConnections:
    """A request on a dropped connection may have run, so a non-idempotent one is not retried."""

    async def send_request(self, pool: ConnectionPool, address: str) -> bool:
        """Send a request like the gateway and return whether it was answered."""
        connection = (await pool.acquire(address, 1_000, f"id-{next(request_numbers)}")).unwrap()
        response = await connection.send(REQUEST)
        if response.is_ok():
            await connection.receive_chunk()
        elif connection.request_sent and not connection.response_started:
            pool.record_reset(connection)
        await pool.release(connection)
        return response.is_ok()

    async def test_one_reset_limits_idle_time_of_all_connections(self, nursery) -> None:
        """Guards against losing a request on every pooled connection of every target."""
        server = IdleResettingServer()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, server.serve, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        pool = ConnectionPool()
        assert await self.send_request(pool, address)
        for _ in range(6):
            await trio.sleep(IDLE_TIMEOUT_S + 0.05)
            await self.send_request(pool, address)
        assert server.resets == 1
        assert await self.send_request(pool, address), "a recently used connection is reused"

    async def test_reset_of_long_request_sets_no_idle_limit(self) -> None:
        """Guards against opening a connection for every request after a target has crashed."""
        pool = ConnectionPool()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        connection = (await pool.acquire(f"127.0.0.1:{port}", 1_000, "id-1")).unwrap()
        connection.idle_s, connection.acquired_s = 1.0, trio.current_time() - 0.5
        pool.record_reset(connection)
        assert pool.idle_limit_expires_s == 0.0
        await connection.close()
        await listener.aclose()


class TestIdleConnections:
    """Connections that nobody uses any more are closed."""

    async def test_connections_to_servers_that_left_are_closed(self, nursery):
        """Guards against using up all descriptors while targets are replaced (KNOWN-RED 8)."""
        callers, ended = CallerPool(), []
        pool = callers.pool

        async def serve(stream: trio.SocketStream) -> None:
            async for _ in stream:
                await stream.send_all(RESPONSE)
            ended.append(stream)

        for _ in range(3):
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            assert (await callers.fetch(address, REQUEST, 5_000)).is_ok()
        await pool.close_idle(max_idle_s=60.0)
        assert sum(len(connections) for connections in pool.idle.values()) == 3
        await trio.sleep(0.05)
        await pool.close_idle(max_idle_s=0.02)
        assert pool.idle == {}
        with trio.fail_after(30):
            while len(ended) < 3:
                await trio.sleep(0.01)

    async def test_used_connection_is_kept(self, nursery):
        """Guards against closing a connection that the next request could use."""
        callers = CallerPool()
        pool = callers.pool
        listeners = await nursery.start(trio.serve_tcp, IdleResettingServer().serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        for _ in range(2):
            assert (await callers.fetch(address, REQUEST, 5_000)).is_ok()
        await pool.close_idle(max_idle_s=5.0)
        assert [len(connections) for connections in pool.idle.values()] == [1]
