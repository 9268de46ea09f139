"""Fake target that answers with raw bytes, to test behaviour that no HTTP server allows."""

import re
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

Script = Callable[["RawExchange"], Awaitable[None]]


@define
class RawExchange:
    """One request received by a raw target, and the connection on which to answer it.

    Attributes:
        head: Head of the request as text.
        number: Number of the request on its connection, from 1.
    """

    stream: trio.SocketStream
    head: str
    number: int

    @property
    def request_id(self) -> str:
        """Return the value of the request's ID header, empty if there is none."""
        match = re.search(r"(?im)^(?:wagtailbay-)?request-id: *(\S+)", self.head)
        return match[1] if match else ""

    async def send(self, *parts: str) -> None:
        """Send text as bytes."""
        await self.stream.send_all("".join(parts).encode("latin-1"))

    async def answer(self, body: str = "ok", *headers: str, status: str = "200 OK") -> None:
        """Send a complete answer to this request."""
        await self.send(self.answer_text(body, *headers, status=status))

    def answer_text(self, body: str = "ok", *headers: str, status: str = "200 OK") -> str:
        """Return a complete answer to this request as text."""
        lines = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {self.request_id}",
            "Response-Seal: seal",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        return "\r\n".join(lines) + "\r\n\r\n" + body

    async def send_without_end(self, start: str, chunk: str) -> None:
        """Send a start and then the same text again and again until the peer closes."""
        try:
            await self.send(start)
            while True:
                await self.send(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def repeat_late(build_answer: Callable[[RawExchange], str], lead_s: float = 0.05) -> Script:
    """Return a script that repeats its previous answer on a connection that is in use again.

    Args:
        lead_s: Time from the repeated answer to the one that is due.
    """
    previous: list[str] = []

    async def answer(exchange: RawExchange) -> None:
        own = build_answer(exchange)
        if exchange.number > 1:
            await exchange.send(*previous)
            await trio.sleep(lead_s)
        await exchange.send(own)
        previous[:] = [own]

    return answer


@define
class RawTarget:
    """Serves connections and runs a script for each request; requests must have no body.

    Attributes:
        exchanges: Requests received so far.
        open_connections: Number of connections that the peer has not closed yet.
    """

    script: Script
    exchanges: list[RawExchange] = field(factory=list)
    open_connections: int = 0

    @property
    def requests(self) -> list[RawExchange]:
        """Return the requests received so far."""
        return self.exchanges

    async def serve(self, *, task_status: trio.TaskStatus) -> None:
        """Serve on a free loopback port and report (host, port) as the task status."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(listeners[0].socket.getsockname()[:2])
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        received, number = b"", 0
        self.open_connections += 1
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    data = await stream.receive_some(65_536)
                    if not data:
                        return
                    received += data
                head, _, received = received.partition(b"\r\n\r\n")
                number += 1
                exchange = RawExchange(stream, head.decode("latin-1"), number)
                self.exchanges.append(exchange)
                await self.script(exchange)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)
