"""Load generator over persistent connections that uses little CPU itself."""

import re
import time

import trio
from attrs import define, field

from wagtailbay.settings.checks import split_address

CHUNK_BYTES = 262_144
HEADER_END = b"\r\n\r\n"
CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def build_request(path: str, key: str) -> bytes:
    """Encode a GET request with the header fields of a typical client."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: records.example\r\nUser-Agent: reader/1.0\r\n"
        f"Accept: application/json\r\nAccept-Language: es\r\nAuthorization: Bearer {key}\r\n"
        "Request-Timeout-Ms: 2000\r\n\r\n"
    ).encode()


@define
class ClientConnection:
    """Client connection that sends one request at a time."""

    stream: trio.SocketStream

    async def call(self, request: bytes) -> bool:
        """Send a request, receive the complete response and return whether its status is 200.

        Raises:
            RuntimeError: The connection closed before the response was complete, or the response
                has no Content-Length header.
        """
        await self.stream.send_all(request)
        received = bytearray()
        expected_bytes = -1
        while expected_bytes < 0 or len(received) < expected_bytes:
            data = await self.stream.receive_some(CHUNK_BYTES)
            if not data:
                raise RuntimeError(f"connection closed after {len(received)} bytes of the response")
            received += data
            if expected_bytes < 0 and (end := received.find(HEADER_END)) >= 0:
                length_match = CONTENT_LENGTH_PATTERN.search(received, 0, end)
                if length_match is None:
                    raise RuntimeError(f"response has no Content-Length: {bytes(received[:end])!r}")
                expected_bytes = end + len(HEADER_END) + int(length_match.group(1))
        return received.startswith(b"HTTP/1.1 200")


async def open_connections(addresses: tuple[str, ...], count: int) -> list[ClientConnection]:
    """Open ``count`` connections, distributed over the addresses in round-robin order."""
    return [
        ClientConnection(
            await trio.open_tcp_stream(*split_address(addresses[number % len(addresses)]))
        )
        for number in range(count)
    ]


async def close_connections(connections: list[ClientConnection]) -> None:
    """Close all connections immediately."""
    for connection in connections:
        await trio.aclose_forcefully(connection.stream)


@define
class LoadGenerator:
    """Sends the same request over many connections and counts the results.

    Attributes:
        answered: Responses with status 200.
        failed: Responses with any other status.
        latencies_ms: Latencies of the requests sent by ``send_paced``.
    """

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
        """Send the next request on each connection as soon as its last response is complete."""
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
        """Send at a constant rate and record the latency of each request.

        Latency counts from the scheduled time, or from the actual start if the connection was
        still busy then.
        """
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
