"""Send requests over kept connections with as little work in the caller as possible."""

import re
import time

import trio
from attrs import define, field

from wagtailbay.settings.checks import split_address

CHUNK_BYTES = 262_144
HEADER_END = b"\r\n\r\n"
CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def build_request(path: str, key: str) -> bytes:
    """Build the bytes of a request with the header fields of an ordinary caller."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: records.example\r\nUser-Agent: reader/1.0\r\n"
        f"Accept: application/json\r\nAccept-Language: es\r\nAuthorization: Bearer {key}\r\n"
        "Request-Timeout-Ms: 2000\r\n\r\n"
    ).encode()


@define
class ClientConnection:
    """Carry one request after another."""

    stream: trio.SocketStream

    async def call(self, request: bytes) -> bool:
        """Send a request and receive its whole answer; tells whether its status is 200.

        Raises:
            RuntimeError: The connection ended before the answer's end.
        """
        await self.stream.send_all(request)
        received = bytearray()
        expected_bytes = -1
        while expected_bytes < 0 or len(received) < expected_bytes:
            data = await self.stream.receive_some(CHUNK_BYTES)
            if not data:
                raise RuntimeError(f"the answer ended after {len(received)} bytes")
            received += data
            if expected_bytes < 0 and (end := received.find(HEADER_END)) >= 0:
                length_match = CONTENT_LENGTH_PATTERN.search(received, 0, end)
                if length_match is None:
                    raise RuntimeError(f"an answer without a length: {bytes(received[:end])!r}")
                expected_bytes = end + len(HEADER_END) + int(length_match.group(1))
        return received.startswith(b"HTTP/1.1 200")


async def open_connections(addresses: tuple[str, ...], count: int) -> list[ClientConnection]:
    """Open connections to the addresses in turn."""
    return [
        ClientConnection(
            await trio.open_tcp_stream(*split_address(addresses[number % len(addresses)]))
        )
        for number in range(count)
    ]


async def close_connections(connections: list[ClientConnection]) -> None:
    """Close connections."""
    for connection in connections:
        await trio.aclose_forcefully(connection.stream)


@define
class LoadGenerator:
    """Run callers and count what came back."""

    request: bytes
    answered: int = 0
    failed: int = 0
    latencies_ms: list[float] = field(factory=list)

    async def _send_request(self, connection: ClientConnection) -> None:
        if await connection.call(self.request):
            self.answered += 1
        else:
            self.failed += 1

    async def saturate(self, connections: list[ClientConnection], duration_s: float) -> None:
        """Send on every connection as soon as the last answer is there."""
        deadline_s = time.monotonic() + duration_s

        async def run_connection(connection: ClientConnection) -> None:
            while time.monotonic() < deadline_s:
                await self._send_request(connection)

        async with trio.open_nursery() as nursery:
            for connection in connections:
                nursery.start_soon(run_connection, connection)

    async def send_paced(
        self, connections: list[ClientConnection], rate_per_s: float, duration_s: float
    ) -> None:
        """Send at even times and measure latency from the time at which each was due."""
        started_s = time.monotonic()
        count = round(rate_per_s * duration_s)

        async def run_connection(connection_index: int) -> None:
            for number in range(connection_index, count, len(connections)):
                due_s = started_s + number / rate_per_s
                await trio.sleep(max(0.0, due_s - time.monotonic()))
                sent_s = max(due_s, time.monotonic())
                await self._send_request(connections[connection_index])
                self.latencies_ms.append((time.monotonic() - sent_s) * 1000)

        async with trio.open_nursery() as nursery:
            for connection_index in range(len(connections)):
                nursery.start_soon(run_connection, connection_index)
