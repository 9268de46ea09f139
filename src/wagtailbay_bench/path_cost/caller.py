"""Send requests over kept connections with as little work in the caller as possible."""

import re
import time

import trio
from attrs import define, field

from wagtailbay.settings.checks import split_address

CHUNK_BYTES = 262_144
HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def build_request(path: str, key: str) -> bytes:
    """Build the bytes of a request with the header fields of an ordinary caller."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: records.example\r\nUser-Agent: reader/1.0\r\n"
        f"Accept: application/json\r\nAccept-Language: es\r\nAuthorization: Bearer {key}\r\n"
        "Request-Timeout-Ms: 2000\r\n\r\n"
    ).encode()


@define
class CallerConnection:
    """Carry one request after another."""

    stream: trio.SocketStream

    async def call(self, request: bytes) -> bool:
        """Send a request and receive its whole answer; tells whether its status is 200.

        Raises:
            RuntimeError: The connection ended before the answer's end.
        """
        await self.stream.send_all(request)
        received = bytearray()
        wanted_bytes = -1
        while wanted_bytes < 0 or len(received) < wanted_bytes:
            data = await self.stream.receive_some(CHUNK_BYTES)
            if not data:
                raise RuntimeError(f"the answer ended after {len(received)} bytes")
            received += data
            if wanted_bytes < 0 and (end := received.find(HEAD_END)) >= 0:
                found = LENGTH.search(received, 0, end)
                if found is None:
                    raise RuntimeError(f"an answer without a length: {bytes(received[:end])!r}")
                wanted_bytes = end + len(HEAD_END) + int(found.group(1))
        return received.startswith(b"HTTP/1.1 200")


async def connect(addresses: tuple[str, ...], count: int) -> list[CallerConnection]:
    """Open connections to the addresses in turn."""
    return [
        CallerConnection(
            await trio.open_tcp_stream(*split_address(addresses[number % len(addresses)]))
        )
        for number in range(count)
    ]


async def close_all(connections: list[CallerConnection]) -> None:
    """Close connections."""
    for connection in connections:
        await trio.aclose_forcefully(connection.stream)


@define
class Callers:
    """Run callers and count what came back."""

    request: bytes
    answered: int = 0
    failed: int = 0
    latencies_ms: list[float] = field(factory=list)

    async def _call(self, connection: CallerConnection) -> None:
        if await connection.call(self.request):
            self.answered += 1
        else:
            self.failed += 1

    async def saturate(self, connections: list[CallerConnection], duration_s: float) -> None:
        """Send on every connection as soon as the last answer is there."""
        until_s = time.monotonic() + duration_s

        async def repeat(connection: CallerConnection) -> None:
            while time.monotonic() < until_s:
                await self._call(connection)

        async with trio.open_nursery() as nursery:
            for connection in connections:
                nursery.start_soon(repeat, connection)

    async def pace(
        self, connections: list[CallerConnection], per_s: float, duration_s: float
    ) -> None:
        """Send at even times and measure latency from the time at which each was due."""
        started_s = time.monotonic()
        count = round(per_s * duration_s)

        async def repeat(first: int) -> None:
            for number in range(first, count, len(connections)):
                due_s = started_s + number / per_s
                await trio.sleep(max(0.0, due_s - time.monotonic()))
                sent_s = max(due_s, time.monotonic())
                await self._call(connections[first])
                self.latencies_ms.append((time.monotonic() - sent_s) * 1000)

        async with trio.open_nursery() as nursery:
            for first in range(len(connections)):
                nursery.start_soon(repeat, first)
