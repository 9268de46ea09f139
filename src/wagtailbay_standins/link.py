"""Stand-in for the network between processes: a TCP proxy with fault injection.

Each link listens on one address and forwards bytes to an upstream address. ``PUT /standin/links``
at the control address with ``{"<name>": {...}}`` changes several links together: ``delay_ms`` sets
the one-way delay, ``cut`` refuses new connections and resets existing ones, and ``frozen`` accepts
and keeps connections but forwards nothing. A link also refuses connections while its upstream
does, except the first one after the upstream stops listening, which is accepted and closed.
"""

import json
import os
import sys
from functools import partial

import trio
from attrs import define, evolve, field, frozen

from wagtailbay.logs import log_event, start_logging
from wagtailbay.replica import ChangeSignal
from wagtailbay.settings import load_settings_or_exit, setting
from wagtailbay.settings.checks import parse_address, split_address
from wagtailbay.transport import HttpServer, Reply, Request
from wagtailbay.transport.sockets import reset_on_close

PROGRAM = "wagtailbay-standin-link"
CHUNK_BYTES = 65_536
MAX_CHUNKS_IN_FLIGHT = 256
UPSTREAM_CHECK_INTERVAL_S = 0.05


@frozen
class LinkState:
    """Faults that apply to a link."""

    delay_ms: float = 0.0
    cut: bool = False
    frozen: bool = False


@define
class Link:
    """Proxy that forwards connections from one address to an upstream address."""

    listen_address: str
    upstream_address: str
    state: LinkState = field(factory=LinkState)
    changed: ChangeSignal = field(factory=ChangeSignal)
    accept_scope: trio.CancelScope = field(factory=trio.CancelScope)
    listening: bool = False

    async def run(self, *, task_status: trio.TaskStatus) -> None:
        """Listen whenever the link is not cut and its upstream accepts connections."""
        host, port = split_address(self.listen_address)
        async with trio.open_nursery() as nursery:
            while True:
                self.listening = True
                self.changed.notify()
                listeners = await trio.open_tcp_listeners(port, host=host)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                with trio.CancelScope() as self.accept_scope:
                    if self.state.cut:
                        # The link was cut while the listeners were being opened.
                        self.accept_scope.cancel()
                    await trio.serve_listeners(self.serve, listeners, handler_nursery=nursery)
                self.listening = False
                self.changed.notify()
                # The link may be cut while the upstream is being checked.
                while self.state.cut or not await self._upstream_accepts() or self.state.cut:
                    with trio.move_on_after(UPSTREAM_CHECK_INTERVAL_S):
                        await self.changed.wait()

    async def _upstream_accepts(self) -> bool:
        try:
            upstream = await trio.open_tcp_stream(*split_address(self.upstream_address))
        except OSError:
            return False
        await trio.aclose_forcefully(upstream)
        return True

    async def update(self, **values: object) -> None:
        """Change the state; once this returns, a link that was cut refuses connections."""
        self.state = evolve(self.state, **values)
        if self.state.cut:
            self.accept_scope.cancel()
        self.changed.notify()
        while self.state.cut and self.listening:
            await self.changed.wait()

    async def serve(self, client: trio.SocketStream) -> None:
        """Forward one connection until it fails, both ends are closed or the link is cut."""
        if self.state.cut:
            await trio.aclose_forcefully(client)
            return
        try:
            upstream = await trio.open_tcp_stream(*split_address(self.upstream_address))
        except OSError:
            await trio.aclose_forcefully(client)
            self.accept_scope.cancel()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_cut, nursery.cancel_scope)
            nursery.start_soon(self._forward, client, upstream, nursery.cancel_scope)
            nursery.start_soon(self._forward, upstream, client, nursery.cancel_scope)
        if nursery.cancel_scope.cancelled_caught:
            # A clean end would make a response without a length look complete.
            reset_on_close(client)
            reset_on_close(upstream)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(upstream)

    async def _cancel_when_cut(self, scope: trio.CancelScope) -> None:
        while not self.state.cut:
            await self.changed.wait()
        scope.cancel()

    async def _forward(
        self, source: trio.SocketStream, destination: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Forward bytes in one direction; each chunk is delivered after the link's delay."""
        send_channel, receive_channel = trio.open_memory_channel(MAX_CHUNKS_IN_FLIGHT)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._deliver, receive_channel, destination)
                async with send_channel:
                    while chunk := await source.receive_some(CHUNK_BYTES):
                        await send_channel.send(
                            (trio.current_time() + self.state.delay_ms / 1000, chunk)
                        )
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            scope.cancel()

    async def _deliver(
        self, receive_channel: trio.MemoryReceiveChannel, destination: trio.SocketStream
    ) -> None:
        async for deliver_at_s, chunk in receive_channel:
            await trio.sleep_until(deliver_at_s)
            while self.state.frozen:
                await self.changed.wait()
            await destination.send_all(chunk)
        await destination.send_eof()


@frozen
class LinkSettings:
    """Run proxies that stand in for the network between processes."""

    links: str = setting(help_text="name=<listen address>@<upstream address>, separated by commas")
    control_address: str = setting(
        help_text="address of the control endpoint that changes links", parse=parse_address
    )


async def run(settings: LinkSettings) -> None:
    """Run the links and the control endpoint until the process is terminated."""
    links: dict[str, Link] = {}

    async def handle_control(request: Request, reply: Reply) -> None:
        states = json.loads(request.body)
        if request.path != "/standin/links" or not states.keys() <= links.keys():
            await reply.send_json(404, {"error": "no such link"})
            return
        for name, values in states.items():
            await links[name].update(**values)
        await reply.send_json(200, {"changed": len(states)})

    async with trio.open_nursery() as nursery:
        for item in settings.links.split(","):
            name, _, addresses = item.partition("=")
            listen_address, _, upstream_address = addresses.partition("@")
            links[name] = Link(listen_address, upstream_address)
            await nursery.start(links[name].run)
        server = HttpServer(handle_control)
        await nursery.start(server.serve, split_address(settings.control_address))
        log_event("all_listening", links=len(links))


def main() -> None:
    """Load the settings and run the link stand-in."""
    settings = load_settings_or_exit(PROGRAM, LinkSettings, os.environ)
    start_logging(sys.stderr, PROGRAM)
    trio.run(partial(run, settings))


if __name__ == "__main__":
    main()
