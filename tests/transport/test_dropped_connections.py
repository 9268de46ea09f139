"""Test kept connections to a server that drops idle ones without a word."""

import trio

from wagtailbay.transport import ConnectionPool, Request

REQUEST = Request("GET", "/")
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
DROPS_AFTER_S = 0.15


class DroppingServer:
    """Answer requests, and reset one that comes on a connection idle for too long."""

    def __init__(self) -> None:
        self.resets = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        answered_s = trio.current_time()
        async for _ in stream:
            if trio.current_time() - answered_s > DROPS_AFTER_S:
                self.resets += 1
                await trio.aclose_forcefully(stream)
                return
            await stream.send_all(ANSWER)
            answered_s = trio.current_time()


class TestDroppedConnections:
    """What is sent on a dropped connection may have run, so it is lost if it must not run twice."""

    async def ask(self, pool: ConnectionPool, address: str) -> bool:
        """Send a request as the gateway does and tell whether it was answered."""
        connection = (await pool.acquire(address, 1_000)).unwrap()
        answer = await connection.send(REQUEST)
        if answer.is_ok():
            await connection.receive_chunk()
        elif connection.request_sent and not connection.answered:
            pool.note_reset(connection)
        await pool.release(connection)
        return answer.is_ok()

    async def test_one_reset_is_enough_for_all_connections(self, nursery) -> None:
        """Guards against a request lost on each kept connection of each target."""
        server = DroppingServer()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, server.serve, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        pool = ConnectionPool()
        assert await self.ask(pool, address)
        for _ in range(6):
            await trio.sleep(DROPS_AFTER_S + 0.05)
            await self.ask(pool, address)
        assert server.resets == 1
        assert await self.ask(pool, address), "one that was used just now is used again"

    async def test_a_crash_under_a_long_request_teaches_nothing(self) -> None:
        """Guards against new connections for all requests after each crash of a target."""
        pool = ConnectionPool()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        connection = (await pool.acquire(f"127.0.0.1:{port}", 1_000)).unwrap()
        connection.idle_s, connection.acquired_s = 1.0, trio.current_time() - 0.5
        pool.note_reset(connection)
        assert pool.learnt_until_s == 0.0
        await connection.close()
        await listener.aclose()
