"""Receive a caller's bytes beside the request that runs, so that its leaving is noticed."""

from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.transport.const import MAX_HEADER_BYTES, RECEIVE_CHUNK_BYTES
from wagtailbay.transport.sockets import receive


@define(eq=False)
class ConnectionReader:
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
    on_disconnect: Callable[[], None]
    read_deadline_s: float = float("inf")
    receive_scope: trio.CancelScope = field(factory=trio.CancelScope)
    buffer: bytearray = field(factory=bytearray)
    idle: bool = False
    serving: bool = False
    closed: bool = False
    aborted: bool = False
    closing: bool = False
    timed_out: bool = False
    data_available: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)
    space_available: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    async def run(self) -> None:
        """Receive until the end or the deadline."""
        while not self.closed and not self.timed_out:
            with self.receive_scope:
                await self._receive_all()
            self.timed_out = not self.closed and (
                self.closing or trio.current_time() >= self.read_deadline_s
            )
            self.receive_scope = trio.CancelScope(deadline=self.read_deadline_s)
        self.data_available.unpark_all()

    async def _receive_all(self) -> None:
        while not self.closed:
            while len(self.buffer) >= MAX_HEADER_BYTES:
                await self.space_available.park()
            await self._receive()
            self.data_available.unpark_all()

    def close_idle(self) -> None:
        """End the wait for a request."""
        if self.idle:
            self.closing = True
            self.receive_scope.cancel()

    async def _receive(self) -> None:
        try:
            data = await receive(self.stream, RECEIVE_CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            data = b""
        self.buffer += data
        if not data:
            self.closed = True
            self._handle_close()

    def _handle_close(self) -> None:
        if self.serving:
            self.aborted = True
            self.on_disconnect()

    def begin_request(self) -> None:
        """Begin to serve a request, which the caller's leaving ends from now on."""
        self.serving = True
        self.read_deadline_s = float("inf")
        if self.closed:
            self._handle_close()

    def end_request(self) -> None:
        """Let the caller leave without an effect, since the answer is sent or given up."""
        self.serving = False

    async def read(self, deadline_s: float, idle: bool) -> bytes | None:
        """Return the bytes received, empty at the end, None after the deadline.

        Args:
            idle: Whether the wait may end early because the server stops.
        """
        if not self.buffer and not self.closed:
            self.read_deadline_s = deadline_s
            if deadline_s < self.receive_scope.deadline:
                self.receive_scope.deadline = deadline_s
            self.idle = idle
            while not self.buffer and not self.closed and not self.timed_out:
                await self.data_available.park()
            self.idle = False
        if not self.buffer:
            return b"" if self.closed else None
        data = bytes(self.buffer)
        self.buffer.clear()
        self.space_available.unpark_all()
        return data
