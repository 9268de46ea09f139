"""Minimal HTTP/1.1 forwarder on h11 and trio, the baseline for the cost of the entry program.

It validates nothing, sets no deadlines, does not detect callers that disconnect, and selects
targets in round-robin order over persistent connections.
"""

import argparse
import sys
from functools import partial

import h11
import trio
from attrs import define, field

from wagtailbay.logs import log_event, start_logging
from wagtailbay.settings.checks import split_address

PROGRAM = "wagtailbay-bench-bare"
CHUNK_BYTES = 65_536


@define
class UpstreamConnection:
    """Persistent connection to a target."""

    address: str
    stream: trio.SocketStream
    protocol: h11.Connection = field(factory=lambda: h11.Connection(h11.CLIENT))


@define
class BareForwarder:
    """Forwards requests to the targets in round-robin order.

    Attributes:
        idle: Open connections without a request, by target address.
        target_index: Position in the round-robin order; increases without bound.
    """

    targets: list[str]
    idle: dict[str, list[UpstreamConnection]] = field(factory=dict)
    target_index: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Forward the requests of one client connection until it closes."""
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                events = await receive_message(stream, protocol)
                if events is None:
                    return
                await self._forward(events, stream, protocol)
                protocol.start_next_cycle()
        except trio.BrokenResourceError:
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _forward(
        self, events: list[h11.Event], stream: trio.SocketStream, protocol: h11.Connection
    ) -> None:
        upstream = await self._acquire_connection()
        await upstream.stream.send_all(b"".join(upstream.protocol.send(e) or b"" for e in events))
        pending_headers = b""
        while True:
            event = await next_event(upstream.stream, upstream.protocol)
            data = protocol.send(event) or b""
            if isinstance(event, h11.Response):
                pending_headers = data
                continue
            if pending_headers or data:
                await stream.send_all(pending_headers + data)
            pending_headers = b""
            if isinstance(event, h11.EndOfMessage):
                break
        upstream.protocol.start_next_cycle()
        self.idle.setdefault(upstream.address, []).append(upstream)

    async def _acquire_connection(self) -> UpstreamConnection:
        self.target_index += 1
        address = self.targets[self.target_index % len(self.targets)]
        idle_connections = self.idle.get(address)
        if idle_connections:
            return idle_connections.pop()
        return UpstreamConnection(address, await trio.open_tcp_stream(*split_address(address)))


async def next_event(stream: trio.SocketStream, protocol: h11.Connection) -> h11.Event:
    """Return the next h11 event, and receive data until there is one."""
    while (event := protocol.next_event()) is h11.NEED_DATA:
        protocol.receive_data(await stream.receive_some(CHUNK_BYTES))
    return event


async def receive_message(
    stream: trio.SocketStream, protocol: h11.Connection
) -> list[h11.Event] | None:
    """Receive all events of one message; return None if the connection is closed."""
    events: list[h11.Event] = []
    while not events or not isinstance(events[-1], h11.EndOfMessage):
        event = await next_event(stream, protocol)
        if isinstance(event, h11.ConnectionClosed):
            return None
        events.append(event)
    return events


async def run(address: str, targets: list[str]) -> None:
    """Accept connections until the process is terminated."""
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    log_event("listening", address=address)
    await trio.serve_listeners(BareForwarder(targets).serve, listeners)


def main() -> None:
    """Run the forwarder with command-line arguments."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__)
    parser.add_argument("--listen-address", required=True)
    parser.add_argument("--targets", required=True, help="target addresses, separated by commas")
    arguments = parser.parse_args()
    start_logging(sys.stderr, PROGRAM)
    trio.run(partial(run, arguments.listen_address, arguments.targets.split(",")))


if __name__ == "__main__":
    main()
