"""Test kept connections to a server that drops idle ones without a word."""

import trio

from wagtailbay.transport import ConnectionPool, Request

REQUEST = Request("GET", "/")
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
IDLE_TIMEOUT_S = 0.15


class IdleResettingServer:
    """Answer requests, and reset one that comes on a connection idle for too long."""

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
    """What is sent on a dropped connection may have run, so it is lost if it must not run twice."""

    async def send_request(self, pool: ConnectionPool, address: str) -> bool:
        """Send a request as the gateway does and tell whether it was answered."""
        connection = (await pool.acquire(address, 1_000)).unwrap()
        response = await connection.send(REQUEST)
        if response.is_ok():
            await connection.receive_chunk()
        elif connection.request_sent and not connection.response_started:
            pool.record_reset(connection)
        await pool.release(connection)
        return response.is_ok()

    async def test_one_reset_limits_idle_time_of_all_connections(self, nursery) -> None:
        """Guards against a request lost on each kept connection of each target."""
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
        assert await self.send_request(pool, address), "one that was used just now is used again"

    async def test_reset_of_long_request_sets_no_idle_limit(self) -> None:
        """Guards against new connections for all requests after each crash of a target."""
        pool = ConnectionPool()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        connection = (await pool.acquire(f"127.0.0.1:{port}", 1_000)).unwrap()
        connection.idle_s, connection.acquired_s = 1.0, trio.current_time() - 0.5
        pool.record_reset(connection)
        assert pool.idle_limit_expires_s == 0.0
        await connection.close()
        await listener.aclose()
