"""Pool of idle client connections."""

from collections.abc import Mapping
from math import inf

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.transport.client import ClientConnection, exchange, open_connection
from wagtailbay.transport.const import (
    IDLE_LIMIT_TTL_S,
    IDLE_RESET_WINDOW_S,
    MAX_RESPONSE_BODY_BYTES,
)
from wagtailbay.transport.models import FailureKind, Request, Response, TransportError


@define
class ConnectionPool:
    """Pool that reuses idle connections to servers.

    A server may drop an idle connection without closing it and reset the connection on the next
    request. After such a reset, the pool temporarily stops using connections that have been idle
    for more than half as long.

    A connection carries no two requests with the same ID, whether they are tries of one request or
    come from different callers. A copy of the response to the first one would have the right ID.

    Attributes:
        max_idle_per_address: Maximum number of idle connections for each address.
        routes: Overrides of the address to connect to, by the server's own address.
        idle: Idle connections by address, most recently used last.
        idle_limit_s: Connections idle for longer than this are assumed to be dropped.
        idle_limit_expires_s: Time at which this limit expires, on trio's clock.
    """

    max_idle_per_address: int = 16
    routes: Mapping[str, str] = field(factory=dict)
    idle: dict[str, list[ClientConnection]] = field(factory=dict)
    idle_limit_s: float = inf
    idle_limit_expires_s: float = 0.0

    async def acquire(
        self,
        address: str,
        timeout_ms: float,
        request_id: str,
        fresh: bool = False,
        max_idle_s: float = inf,
    ) -> Result[ClientConnection, TransportError]:
        """Return an idle connection that has not carried this request ID, or open a new one.

        Args:
            address: Address of the server.
            timeout_ms: Time limit for opening a connection.
            request_id: ID by which the response is recognized; empty if it cannot be, which needs
                a new connection.
            fresh: Whether to always open a new connection, which the server cannot have closed as
                idle.
            max_idle_s: Idle connections that were unused for longer are closed instead of reused.
        """
        address = self.routes.get(address, address)
        reusable = not fresh and bool(request_id)
        while reusable and (connection := self._take_idle(address, request_id)) is not None:
            now_s = trio.current_time()
            idle_s = now_s - connection.released_s
            allowed_idle_s = min(max_idle_s, self._current_idle_limit_s(now_s))
            if idle_s <= allowed_idle_s and not connection.has_unread_bytes():
                connection.known_clean = True
                connection.acquired_s, connection.idle_s = now_s, idle_s
                connection.carried.add(request_id)
                return Ok(connection)
            await connection.close()
        opened = await open_connection(address, timeout_ms)
        if isinstance(opened, Ok):
            opened.ok_value.carried.add(request_id)
            opened.ok_value.attributable = bool(request_id)
        return opened

    def _take_idle(self, address: str, request_id: str) -> ClientConnection | None:
        """Remove and return the last used idle connection that has not carried this ID."""
        idle_connections = self.idle.get(address, [])
        for index in reversed(range(len(idle_connections))):
            if request_id not in idle_connections[index].carried:
                return idle_connections.pop(index)
        return None

    def _current_idle_limit_s(self, now_s: float) -> float:
        return self.idle_limit_s if now_s < self.idle_limit_expires_s else inf

    def record_reset(self, connection: ClientConnection) -> None:
        """Lower the idle limit if the server seems to have dropped an idle connection.

        To be called for a connection that was reset before any byte of the response. A reset right
        after a request on a pooled connection means that the server had dropped the connection. A
        later reset is ignored, since a crashing server resets requests of any age.
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
        """Add a connection to the pool; return whether it was added, else the caller closes it."""
        idle_connections = self.idle.setdefault(connection.address, [])
        if len(idle_connections) >= self.max_idle_per_address or not connection.prepare_for_reuse():
            return False
        connection.released_s = trio.current_time()
        idle_connections.append(connection)
        return True

    async def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool if it can be reused, else close it, even if cancelled."""
        if not self.try_release(connection):
            with trio.CancelScope(shield=True):
                await connection.close()

    async def fetch(
        self,
        address: str,
        request: Request,
        timeout_ms: int,
        max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
    ) -> Result[Response, TransportError]:
        """Send a request on a connection of its own and receive the whole response.

        Without an ID that the response repeats, only the connection proves that a response is not a
        late copy of another one.
        """
        connection: ClientConnection | None = None
        with trio.move_on_after(timeout_ms / 1000):
            try:
                opened = await self.acquire(address, timeout_ms, request_id="")
                if isinstance(opened, Err):
                    return opened
                connection = opened.ok_value
                return await exchange(connection, request, max_body_bytes)
            finally:
                if connection is not None:
                    await self.release(connection)
        sent = connection is not None and connection.request_sent
        return Err(TransportError(FailureKind.TIMEOUT, f"{address}: {timeout_ms} ms", sent))

    async def close_idle(self, max_idle_s: float) -> None:
        """Close the connections that were unused for longer, also to servers that are gone."""
        now_s = trio.current_time()
        expired: list[ClientConnection] = []
        for address, connections in list(self.idle.items()):
            while connections and now_s - connections[0].released_s > max_idle_s:
                expired.append(connections.pop(0))
            if not connections:
                del self.idle[address]
        for connection in expired:
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for idle_connections in self.idle.values():
            while idle_connections:
                await idle_connections.pop().close()


async def fetch(
    address: str,
    request: Request,
    timeout_ms: int,
    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
) -> Result[Response, TransportError]:
    """Send a request on a new connection and receive the whole response."""
    return await ConnectionPool().fetch(address, request, timeout_ms, max_body_bytes)
