"""Serve HTTP/1.1, one task for each connection."""

import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.invariants import BrokenInvariantError
from wagtailbay.logs import log_event
from wagtailbay.transport.const import (
    LINGER_BYTES,
    LINGER_S,
    MAX_HEADER_BYTES,
    MAX_REQUEST_BODY_BYTES,
    RECEIVE_CHUNK_BYTES,
)
from wagtailbay.transport.models import Request
from wagtailbay.transport.receive import BadRequest, RequestReceiver
from wagtailbay.transport.reply import CallerGoneError, Reply, send_error

Handler = Callable[[Request, Reply], Awaitable[None]]


@define
class HttpServer:
    """Accept connections and pass each request to the handler.

    Attributes:
        handler: Called for each request; it must finish the reply. It is cancelled when the
            caller closes its connection.
        draining: Set when the server stops; each connection ends after its current request.
        open_requests: Requests received and not yet answered.
        callers_gone: Requests whose caller closed the connection before the answer's end.
    """

    handler: Handler
    max_body_bytes: int = MAX_REQUEST_BODY_BYTES
    draining: trio.Event = field(factory=trio.Event)
    open_requests: int = 0
    connections: int = 0
    callers_gone: int = 0
    idle_scopes: set[trio.CancelScope] = field(factory=set)

    async def serve(self, address: tuple[str, int], *, task_status: Any) -> None:
        """Listen on an address; reports the bound (host, port) when ready."""
        host, port = address
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started(listeners[0].socket.getsockname()[:2])
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        receiver = RequestReceiver(stream, protocol, self.max_body_bytes, self.idle_scopes)
        self.connections += 1
        try:
            while await self._serve_request(receiver):
                protocol.start_next_cycle()
        except (CallerGoneError, trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except h11.LocalProtocolError as error:
            log_event("connection_failed", reason=str(error))
        finally:
            self.connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, receiver: RequestReceiver) -> bool:
        """Serve one request; True if the connection may carry another."""
        stream, protocol = receiver.stream, receiver.protocol
        reply = Reply(stream, protocol, self.draining.is_set)
        received = await receiver.receive()
        if received is None:
            return False
        match received:
            case Err(BadRequest(status=status, code=code, message=message)):
                await send_error(reply, status, code, message, "not_run")
                await linger(stream)
                return False
            case Ok(request):
                reply.bodiless = request.method == "HEAD"
                self.open_requests += 1
                try:
                    await self._handle(request, reply, receiver)
                finally:
                    self.open_requests -= 1
        reusable = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        return reply.finished and reusable and not self.draining.is_set()

    async def _handle(self, request: Request, reply: Reply, receiver: RequestReceiver) -> None:
        """Run the handler until it ends or the caller is gone.

        Raises:
            CallerGoneError: The connection must be closed at once.
        """
        ended: list[Exception] = []
        gone = False

        def leave() -> None:
            nonlocal gone
            gone = True
            # A caller may close as soon as it has the whole answer, while its end is recorded.
            if not reply.finished:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receiver.watch, leave, MAX_HEADER_BYTES)
            try:
                await self.handler(request, reply)
            except Exception as error:  # An error in one request must not end other connections.
                ended.append(error)
            nursery.cancel_scope.cancel()
        if gone and not reply.finished:
            self.callers_gone += 1
            raise CallerGoneError
        for error in ended:
            await self._end_failed(error, reply)

    @staticmethod
    async def _end_failed(error: Exception, reply: Reply) -> None:
        if isinstance(error, CallerGoneError | BrokenInvariantError):
            raise error
        log_event(
            "request_failed",
            error=f"{type(error).__name__}: {error}",
            trace="".join(traceback.format_exception(error)),
        )
        if reply.started:
            raise CallerGoneError
        message = "the request failed inside the system and may have run"
        await send_error(reply, 500, "internal_error", message, "unknown")
        await linger(reply.stream)
        raise CallerGoneError

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in tuple(self.idle_scopes):
            scope.cancel()


async def linger(stream: trio.abc.HalfCloseableStream) -> None:
    """Let the caller read the last answer; closing with unread bytes would reset it."""
    await stream.send_eof()
    received_bytes = 0
    with trio.move_on_after(LINGER_S):
        while received_bytes < LINGER_BYTES:
            data = await stream.receive_some(RECEIVE_CHUNK_BYTES)
            if not data:
                return
            received_bytes += len(data)
