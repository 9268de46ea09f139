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
        scope: Ends the receiving at its deadline.
        idle: Whether the connection waits for the head of a request.
        serving: Whether a request is served whose answer has not been sent in full.
        ended: Whether the caller has closed its side or broken the connection.
        gone: Whether it did so while a request was served.
    """

    stream: trio.SocketStream
    leave: Callable[[], None]
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    data: bytearray = field(factory=bytearray)
    idle: bool = False
    serving: bool = False
    ended: bool = False
    gone: bool = False
    timed_out: bool = False
    filled: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)
    emptied: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    async def run(self) -> None:
        """Receive until the end or the deadline."""
        with self.scope:
            while not self.ended:
                while len(self.data) >= MAX_HEADER_BYTES:
                    await self.emptied.park()
                await self._receive()
                self.filled.unpark_all()
        if not self.ended:
            self.timed_out = True
            self.filled.unpark_all()

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
        self.scope.deadline = float("inf")
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
