"""Connections that a caller keeps open for its next requests."""

from collections.abc import Iterator
from itertools import count

import trio
from attrs import define, field
from result import Err, Result

from wagtailbay.transport import (
    ClientConnection,
    ConnectionPool,
    FailureKind,
    Request,
    Response,
    TransportError,
)
from wagtailbay.transport.client import exchange


@define
class CallerPool:
    """Sends requests on kept connections to VMs, which answer each request once and in order."""

    pool: ConnectionPool = field(factory=ConnectionPool)
    numbers: Iterator[int] = field(factory=count)

    async def fetch(
        self, address: str, request: Request, timeout_ms: int
    ) -> Result[Response, TransportError]:
        """Send a request on a kept or new connection and receive the whole response."""
        connection: ClientConnection | None = None
        with trio.move_on_after(timeout_ms / 1000):
            try:
                request_id = f"request {next(self.numbers)}"
                opened = await self.pool.acquire(address, timeout_ms, request_id)
                if isinstance(opened, Err):
                    return opened
                connection = opened.ok_value
                return await exchange(connection, request)
            finally:
                if connection is not None:
                    await self.pool.release(connection)
        sent = connection is not None and connection.request_sent
        return Err(TransportError(FailureKind.TIMEOUT, f"{address}: {timeout_ms} ms", sent))

    async def close(self) -> None:
        """Close all idle connections."""
        await self.pool.close()
