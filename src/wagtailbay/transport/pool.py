"""Keep idle connections to targets for later requests."""

from attrs import define, field
from result import Ok, Result

from wagtailbay.transport.client import ClientConnection, open_connection
from wagtailbay.transport.models import TransportError


@define
class ConnectionPool:
    """Hold idle connections by address, newest last."""

    max_idle_per_address: int = 16
    idle: dict[str, list[ClientConnection]] = field(factory=dict)

    async def acquire(
        self, address: str, timeout_ms: int, fresh: bool = False
    ) -> Result[ClientConnection, TransportError]:
        """Take an idle connection or open one; a fresh one cannot be closed as idle meanwhile."""
        waiting = [] if fresh else self.idle.get(address, [])
        while waiting:
            connection = waiting.pop()
            if not connection.has_unread_bytes():
                return Ok(connection)
            await connection.close()
        return await open_connection(address, timeout_ms)

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection after a complete exchange, else close it."""
        waiting = self.idle.setdefault(connection.address, [])
        if len(waiting) < self.max_idle_per_address and connection.recycle():
            waiting.append(connection)
            return
        await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for waiting in self.idle.values():
            while waiting:
                await waiting.pop().close()
