"""Serve HTTP/1.1, one task for each connection."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.transport.const import (
    IDLE_CONNECTION_TIMEOUT_S,
    MAX_HEADER_BYTES,
    MAX_REQUEST_BODY_BYTES,
    RECEIVE_CHUNK_BYTES,
    REQUEST_RECEIVE_TIMEOUT_S,
)
from wagtailbay.transport.models import Headers, Request, ResponseHead
from wagtailbay.transport.wire import decode_headers, encode_response_head


class CallerGoneError(Exception):
    """Raised in a handler when the caller's connection is closed under it."""


@define
class Reply:
    """Send one response to the caller, whole or in parts."""

    stream: trio.abc.Stream
    protocol: h11.Connection
    closing: Callable[[], bool]
    started: bool = False
    finished: bool = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        if self.closing():
            headers = (*headers, ("Connection", "close"))
        self.started = True
        await self._send(encode_response_head(ResponseHead(status, headers)))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the body."""
        await self._send(h11.EndOfMessage())
        self.finished = True

    async def _send(self, event: h11.Event) -> None:
        try:
            await self.stream.send_all(self.protocol.send(event) or b"")
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise CallerGoneError from error

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        await self.start(status, (*headers, ("Content-Length", str(len(body)))))
        await self.send(body)
        await self.finish()

    async def send_json(self, status: int, value: Any, headers: Headers = ()) -> None:
        """Send a complete JSON response."""
        content_type = ("Content-Type", "application/json")
        await self.send_whole(status, (content_type, *headers), json.dumps(value).encode() + b"\n")


Handler = Callable[[Request, Reply], Awaitable[None]]


@define
class HttpServer:
    """Accept connections and pass each request to the handler.

    Attributes:
        handler: Called for each request; it must finish the reply.
        draining: Set when the server stops; each connection ends after its current request.
        open_requests: Requests received and not yet answered.
    """

    handler: Handler
    max_body_bytes: int = MAX_REQUEST_BODY_BYTES
    draining: trio.Event = field(factory=trio.Event)
    open_requests: int = 0
    connections: int = 0
    idle_scopes: set[trio.CancelScope] = field(factory=set)

    async def serve(self, address: tuple[str, int], *, task_status: Any) -> None:
        """Listen on an address; reports the bound (host, port) when ready."""
        host, port = address
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started(listeners[0].socket.getsockname()[:2])
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.connections += 1
        try:
            while await self._serve_request(stream, connection):
                connection.start_next_cycle()
        except (CallerGoneError, trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self.connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, stream: trio.SocketStream, connection: h11.Connection) -> bool:
        """Serve one request; True if the connection may carry another."""
        reply = Reply(stream, connection, self.draining.is_set)
        received = await self._receive_request(stream, connection)
        if received is None:
            return False
        match received:
            case Err((status, code, message)):
                await send_error(reply, status, code, message)
                await stream.send_eof()
                return False
            case Ok(request):
                self.open_requests += 1
                try:
                    await self.handler(request, reply)
                finally:
                    self.open_requests -= 1
        reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        return reply.finished and reusable and not self.draining.is_set()

    async def _receive_request(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> Result[Request, tuple[int, str, str]] | None:
        """Receive a whole request; None when the caller closed or stayed idle."""
        head: h11.Request | None = None
        body = bytearray()
        deadline_s = trio.current_time() + IDLE_CONNECTION_TIMEOUT_S
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                return Err((error.error_status_hint, "malformed_request", str(error)))
            match event:
                case h11.Request():
                    head = event
                    deadline_s = trio.current_time() + REQUEST_RECEIVE_TIMEOUT_S
                case h11.Data():
                    body += event.data
                    if len(body) > self.max_body_bytes:
                        message = f"the body exceeds {self.max_body_bytes} bytes"
                        return Err((413, "body_too_large", message))
                case h11.EndOfMessage() if head is not None:
                    return self._built_request(head, bytes(body))
                case h11.ConnectionClosed() | h11.PAUSED:
                    return None
                case h11.NEED_DATA:
                    if not await self._receive(stream, connection, deadline_s, head is None):
                        if head is None:
                            return None
                        return Err((408, "request_timeout", "the request did not arrive in time"))

    @staticmethod
    def _built_request(head: h11.Request, body: bytes) -> Result[Request, tuple[int, str, str]]:
        try:
            path = head.target.decode("ascii")
        except UnicodeDecodeError:
            return Err((400, "malformed_request", "the request target is not ASCII"))
        return Ok(Request(head.method.decode("ascii"), path, decode_headers(head.headers), body))

    async def _receive(
        self, stream: trio.SocketStream, connection: h11.Connection, deadline_s: float, idle: bool
    ) -> bool:
        """Feed received bytes to h11; False when the wait ended without any."""
        if connection.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(connection.send(go_ahead) or b"")
        data: bytes | None = None
        with trio.CancelScope(deadline=deadline_s) as scope:
            if idle:
                self.idle_scopes.add(scope)
            try:
                data = await stream.receive_some(RECEIVE_CHUNK_BYTES)
            finally:
                self.idle_scopes.discard(scope)
        if data is None:
            return False
        connection.receive_data(data)
        return True

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in tuple(self.idle_scopes):
            scope.cancel()


async def send_error(reply: Reply, status: int, code: str, message: str) -> None:
    """Send a refusal of a request that was not run."""
    error = {"code": code, "message": message, "run": "not_run"}
    headers = (("Wagtailbay-Run", "not-run"), ("Connection", "close"))
    await reply.send_json(status, {"error": error}, headers)
