"""Stand in for the network between two processes.

Each link listens on one address and passes bytes to another. ``PUT /standin/links`` at the control
address with ``{"<name>": {...}}`` changes links together: ``delay_ms`` one way, ``cut`` (refuse new
connections and close old ones), ``frozen`` (accept and keep connections but pass nothing). A link
also refuses connections while its far end does; only the first one after that is accepted and
closed.
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

PROGRAM = "wagtailbay-standin-link"
CHUNK_BYTES = 65_536
MAX_CHUNKS_IN_FLIGHT = 256
FAR_END_CHECK_S = 0.05


@frozen
class LinkState:
    """Describe what happens to the bytes on a link."""

    delay_ms: float = 0.0
    cut: bool = False
    frozen: bool = False


@define
class Link:
    """Pass bytes between two addresses."""

    listen_address: str
    to_address: str
    state: LinkState = field(factory=LinkState)
    changed: ChangeSignal = field(factory=ChangeSignal)
    accepting: trio.CancelScope = field(factory=trio.CancelScope)
    listening: bool = False

    async def run(self, *, task_status: trio.TaskStatus) -> None:
        """Listen whenever the link is not cut and its far end takes connections."""
        host, port = split_address(self.listen_address)
        async with trio.open_nursery() as nursery:
            while True:
                self.listening = True
                self.changed.notify()
                listeners = await trio.open_tcp_listeners(port, host=host)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                with trio.CancelScope() as self.accepting:
                    if self.state.cut:
                        # The link was cut while the listeners were opened.
                        self.accepting.cancel()
                    await trio.serve_listeners(self.serve, listeners, handler_nursery=nursery)
                self.listening = False
                self.changed.notify()
                # The link may be cut while the far end is asked.
                while self.state.cut or not await self._far_end_listens() or self.state.cut:
                    with trio.move_on_after(FAR_END_CHECK_S):
                        await self.changed.wait()

    async def _far_end_listens(self) -> bool:
        try:
            far = await trio.open_tcp_stream(*split_address(self.to_address))
        except OSError:
            return False
        await trio.aclose_forcefully(far)
        return True

    async def change(self, **values: object) -> None:
        """Change the state of the link; a cut one refuses connections when this returns."""
        self.state = evolve(self.state, **values)
        if self.state.cut:
            self.accepting.cancel()
        self.changed.notify()
        while self.state.cut and self.listening:
            await self.changed.wait()

    async def serve(self, near: trio.SocketStream) -> None:
        """Carry one connection until either end closes it or the link is cut."""
        if self.state.cut:
            await trio.aclose_forcefully(near)
            return
        try:
            far = await trio.open_tcp_stream(*split_address(self.to_address))
        except OSError:
            await trio.aclose_forcefully(near)
            self.accepting.cancel()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_cut, nursery.cancel_scope)
            nursery.start_soon(self._pass_on, near, far, nursery.cancel_scope)
            nursery.start_soon(self._pass_on, far, near, nursery.cancel_scope)
        await trio.aclose_forcefully(near)
        await trio.aclose_forcefully(far)

    async def _cancel_when_cut(self, scope: trio.CancelScope) -> None:
        while not self.state.cut:
            await self.changed.wait()
        scope.cancel()

    async def _pass_on(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Pass bytes one way; each part arrives one delay after it was sent."""
        send, receive = trio.open_memory_channel(MAX_CHUNKS_IN_FLIGHT)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._deliver, receive, sink)
                async with send:
                    while data := await source.receive_some(CHUNK_BYTES):
                        await send.send((trio.current_time() + self.state.delay_ms / 1000, data))
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            scope.cancel()

    async def _deliver(self, receive: trio.MemoryReceiveChannel, sink: trio.SocketStream) -> None:
        async for due_s, data in receive:
            await trio.sleep_until(due_s)
            while self.state.frozen:
                await self.changed.wait()
            await sink.send_all(data)
        await sink.send_eof()


@frozen
class LinkSettings:
    """Stand in for the network between processes."""

    links: str = setting(help_text="name=<listen address>@<to address>, separated by commas")
    control_address: str = setting(help_text="where links are changed", parse=parse_address)


async def run(settings: LinkSettings) -> None:
    """Carry connections until the process is ended."""
    links: dict[str, Link] = {}

    async def control(request: Request, reply: Reply) -> None:
        changes = json.loads(request.body)
        if request.path != "/standin/links" or not changes.keys() <= links.keys():
            await reply.send_json(404, {"error": "no such link"})
            return
        for name, values in changes.items():
            await links[name].change(**values)
        await reply.send_json(200, {"changed": len(changes)})

    async with trio.open_nursery() as nursery:
        for item in settings.links.split(","):
            name, _, route = item.partition("=")
            listen, _, to_address = route.partition("@")
            links[name] = Link(listen, to_address)
            await nursery.start(links[name].run)
        server = HttpServer(control)
        await nursery.start(server.serve, split_address(settings.control_address))
        log_event("all_listening", links=len(links))


def main() -> None:
    """Run the program."""
    settings = load_settings_or_exit(PROGRAM, LinkSettings, os.environ)
    start_logging(sys.stderr, PROGRAM)
    trio.run(partial(run, settings))


if __name__ == "__main__":
    main()
