"""Keep idle connections to targets for later requests."""

from collections.abc import Mapping
from math import inf

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.transport.client import ClientConnection, exchange, open_connection
from wagtailbay.transport.const import IDLE_LIMIT_TTL_S, IDLE_RESET_WINDOW_S
from wagtailbay.transport.models import FailureKind, Request, Response, TransportError


@define
class ConnectionPool:
    """Hold idle connections by address, newest last.

    A server may drop an idle connection without a word, and resets what is sent on it next. After
    such a reset no connection is used that was idle for half as long, for a while.

    Attributes:
        routes: Addresses to connect to in place of some servers' own.
        learnt_idle_s: Connections that were idle for longer are probably dropped.
        learnt_until_s: How long this holds.
    """

    max_idle_per_address: int = 16
    routes: Mapping[str, str] = field(factory=dict)
    idle: dict[str, list[ClientConnection]] = field(factory=dict)
    idle_limit_s: float = inf
    idle_limit_expires_s: float = 0.0

    async def acquire(
        self, address: str, timeout_ms: float, fresh: bool = False, max_idle_s: float = inf
    ) -> Result[ClientConnection, TransportError]:
        """Take an idle connection or open one; a fresh one cannot be closed as idle meanwhile.

        Args:
            max_idle_s: Kept connections that were not used for longer are closed.
        """
        address = self.routes.get(address, address)
        idle_connections = [] if fresh else self.idle.get(address, [])
        while idle_connections:
            connection, now_s = idle_connections.pop(), trio.current_time()
            idle_s = now_s - connection.released_s
            allowed_idle_s = min(max_idle_s, self._current_idle_limit_s(now_s))
            if idle_s <= allowed_idle_s and not connection.has_unread_bytes():
                connection.known_clean = True
                connection.acquired_s, connection.idle_s = now_s, idle_s
                return Ok(connection)
            await connection.close()
        return await open_connection(address, timeout_ms)

    def _current_idle_limit_s(self, now_s: float) -> float:
        return self.idle_limit_s if now_s < self.idle_limit_expires_s else inf

    def record_reset(self, connection: ClientConnection) -> None:
        """Learn from a connection that was reset with no byte of an answer.

        A reset right after the request was sent on a kept connection means that the server had
        dropped it; a server that crashes resets requests of any age.
        """
        now_s = trio.current_time()
        if not connection.idle_s or now_s - connection.acquired_s > IDLE_RESET_WINDOW_S:
            return
        self.idle_limit_s = min(self._current_idle_limit_s(now_s), connection.idle_s / 2)
        self.idle_limit_expires_s = now_s + IDLE_LIMIT_TTL_S
        log_event(
            "idle_connection_dropped",
            address=connection.address,
            idle_ms=round(connection.idle_s * 1000),
            used_up_to_ms=round(self.idle_limit_s * 1000),
        )

    def try_release(self, connection: ClientConnection) -> bool:
        """Keep a connection after a complete exchange; False means that it must be closed."""
        idle_connections = self.idle.setdefault(connection.address, [])
        if len(idle_connections) >= self.max_idle_per_address or not connection.prepare_for_reuse():
            return False
        connection.released_s = trio.current_time()
        idle_connections.append(connection)
        return True

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection after a complete exchange, else close it, even when cancelled."""
        if not self.try_release(connection):
            with trio.CancelScope(shield=True):
                await connection.close()

    async def fetch(
        self, address: str, request: Request, timeout_ms: int
    ) -> Result[Response, TransportError]:
        """Carry out one complete exchange and keep the connection where it may be used again."""
        connection: ClientConnection | None = None
        with trio.move_on_after(timeout_ms / 1000):
            try:
                opened = await self.acquire(address, timeout_ms)
                if isinstance(opened, Err):
                    return opened
                connection = opened.ok_value
                return await exchange(connection, request)
            finally:
                if connection is not None:
                    await self.release(connection)
        sent = connection is not None and connection.request_sent
        return Err(TransportError(FailureKind.TIMEOUT, f"{address}: {timeout_ms} ms", sent))

    async def close(self) -> None:
        """Close all idle connections."""
        for idle_connections in self.idle.values():
            while idle_connections:
                await idle_connections.pop().close()


async def fetch(
    address: str, request: Request, timeout_ms: int
) -> Result[Response, TransportError]:
    """Carry out one complete exchange on a connection of its own."""
    return await ConnectionPool(max_idle_per_address=0).fetch(address, request, timeout_ms)
