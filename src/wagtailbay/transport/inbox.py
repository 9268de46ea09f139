"""Receive a caller's bytes beside the request that runs, so that its leaving is noticed."""

from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.transport.const import MAX_HEADER_BYTES, RECEIVE_CHUNK_BYTES
from wagtailbay.transport.sockets import receive


@define(eq=False)
class CallerInbox:
    """Hold the bytes of one caller's connection until they are taken.

    One task runs for the whole connection; a nursery with a watching task for each request cost
    111 us a request.

    Attributes:
        leave: Called once when the caller closes while a request is served.
        due_s: When the wait for bytes ends.
        scope: Ends the receiving; its deadline is due_s or earlier, and is moved only when it has
            come, since most waits end long before.
        idle: Whether the connection waits for the head of a request.
        closing: Whether the server ended that wait.
        serving: Whether a request is served whose answer has not been sent in full.
        ended: Whether the caller has closed its side or broken the connection.
        gone: Whether it did so while a request was served.
    """

    stream: trio.SocketStream
    leave: Callable[[], None]
    due_s: float = float("inf")
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    data: bytearray = field(factory=bytearray)
    idle: bool = False
    serving: bool = False
    ended: bool = False
    gone: bool = False
    closing: bool = False
    timed_out: bool = False
    filled: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)
    emptied: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    async def run(self) -> None:
        """Receive until the end or the deadline."""
        while not self.ended and not self.timed_out:
            with self.scope:
                await self._receive_all()
            self.timed_out = not self.ended and (self.closing or trio.current_time() >= self.due_s)
            self.scope = trio.CancelScope(deadline=self.due_s)
        self.filled.unpark_all()

    async def _receive_all(self) -> None:
        while not self.ended:
            while len(self.data) >= MAX_HEADER_BYTES:
                await self.emptied.park()
            await self._receive()
            self.filled.unpark_all()

    def close_idle(self) -> None:
        """End the wait for a request."""
        if self.idle:
            self.closing = True
            self.scope.cancel()

    async def _receive(self) -> None:
        try:
            data = await receive(self.stream, RECEIVE_CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            data = b""
        self.data += data
        if not data:
            self.ended = True
            self._notice_end()

    def _notice_end(self) -> None:
        if self.serving:
            self.gone = True
            self.leave()

    def serve(self) -> None:
        """Begin to serve a request, which the caller's leaving ends from now on."""
        self.serving = True
        self.due_s = float("inf")
        if self.ended:
            self._notice_end()

    def end_serving(self) -> None:
        """Let the caller leave without an effect, since the answer is sent or given up."""
        self.serving = False

    async def take(self, deadline_s: float, idle: bool) -> bytes | None:
        """Return the bytes received, empty at the end, None after the deadline.

        Args:
            idle: Whether the wait may end early because the server stops.
        """
        if not self.data and not self.ended:
            self.due_s = deadline_s
            if deadline_s < self.scope.deadline:
                self.scope.deadline = deadline_s
            self.idle = idle
            while not self.data and not self.ended and not self.timed_out:
                await self.filled.park()
            self.idle = False
        if not self.data:
            return b"" if self.ended else None
        data = bytes(self.data)
        self.data.clear()
        self.emptied.unpark_all()
        return data
