"""Background reading of a caller's connection, which detects a disconnect during a request."""

from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.transport.const import MAX_HEADER_BYTES, RECEIVE_CHUNK_BYTES
from wagtailbay.transport.sockets import receive, receive_nowait


@define(eq=False)
class ConnectionReader:
    """Reader that buffers the bytes of one caller's connection until they are consumed.

    One task reads for the lifetime of the connection, because a nursery with a monitoring task for
    each request cost 111 us per request.

    Attributes:
        on_disconnect: Called when the caller closes the connection during a request.
        on_data: Called when bytes arrive during a request, None to leave them in the buffer.
        read_deadline_s: Time at which the current wait for bytes ends.
        receive_scope: Cancel scope of the receiving loop. Its deadline is ``read_deadline_s`` or
            earlier and is moved back only when it expires, since most waits end long before.
        buffer: Bytes received and not yet consumed.
        idle: Whether the connection is waiting for the head of a request.
        serving: Whether a request is being served whose response is not yet complete.
        closed: Whether the caller has closed its side or the connection has failed.
        aborted: Whether that happened while a request was being served.
        closing: Whether the server has ended the wait for a request.
        timed_out: Whether reading has stopped at its deadline or because the server is stopping.
        data_available: Wakes the consumer when bytes have arrived or reading has ended.
        space_available: Wakes the reading task when the buffer has been consumed.
    """

    stream: trio.SocketStream
    on_disconnect: Callable[[], None]
    on_data: Callable[[], None] | None = None
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
        """Receive into the buffer until the connection closes or the read deadline passes."""
        while not self.closed and not self.timed_out:
            with self.receive_scope:
                await self._receive_all()
            if self.closing and not self.closed and self._receive_pending():
                self.closing = False
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
            if self.on_data is not None and self.serving and self.buffer:
                self.on_data()
            self.data_available.unpark_all()

    def _receive_pending(self) -> bool:
        """Buffer bytes that arrived before the wait ended; return whether there were any.

        Closing the connection with unread bytes would reset it, and lose a request.
        """
        data = receive_nowait(self.stream, RECEIVE_CHUNK_BYTES)
        self.buffer += data
        self.data_available.unpark_all()
        return bool(data)

    def close_idle(self) -> None:
        """Stop waiting for a request if the connection is idle and none has arrived."""
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
        """Mark a request as being served, so that a disconnect cancels it."""
        self.serving = True
        self.read_deadline_s = float("inf")
        if self.closed:
            self._handle_close()

    def end_request(self) -> None:
        """Mark the request as finished, so that a disconnect no longer cancels it."""
        self.serving = False

    async def read(self, deadline_s: float, idle: bool) -> bytes | None:
        """Return and clear the buffered bytes, waiting for some if there are none.

        Returns empty bytes once the connection is closed, and None after the deadline.

        Args:
            deadline_s: Time at which the wait ends, on trio's clock.
            idle: Whether the server may end the wait early because it is stopping.
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
        return self.take_buffered()

    def take_buffered(self) -> bytes:
        """Return and clear the buffered bytes, which may be none."""
        data = bytes(self.buffer)
        self.buffer.clear()
        self.space_available.unpark_all()
        return data
