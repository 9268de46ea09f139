"""HTTP/1.1 client connections, each carrying one request at a time."""

import select
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any

import h11
import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.settings.checks import split_address
from wagtailbay.transport.carried import CarriedRequests
from wagtailbay.transport.const import (
    MAX_CHUNKS_BETWEEN_WAITS,
    MAX_DENSE_CHUNKS,
    MAX_DISCARDED_BYTES,
    MAX_HEADER_BYTES,
    MAX_INFORMATIONAL_RESPONSES,
    MAX_JOINED_BODY_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    MAX_SKIPPED_RESPONSES,
    MAX_STATUS,
    MIN_DENSE_CHUNK_BYTES,
    RECEIVE_CHUNK_BYTES,
    SMALL_CHUNKS_PAUSE_S,
)
from wagtailbay.transport.models import (
    FailureKind,
    Request,
    Response,
    ResponseHead,
    ResponseOwner,
    TransportError,
)
from wagtailbay.transport.sockets import receive, send_nowait, send_remaining
from wagtailbay.transport.wire import (
    END_OF_MESSAGE,
    contains_second_status_line,
    decode_headers,
    encode_request_head,
    fits_header_limits,
)

connection_numbers = count(1)


@define
class ClientConnection:
    """Client connection that carries one request at a time.

    A connection can be reused only after a complete exchange without errors. Any other connection
    must be closed, because later bytes on it could belong to an earlier request.

    Attributes:
        request_sent: Whether any byte of the current request may have been sent.
        response_started: Whether any byte of the response has been received.
        known_clean: Whether the pool has just found no unread bytes on the connection, so that the
            next request need not check again.
        method: Method of the current request.
        poller: Polls the socket for unread bytes; created on first use.
        allow_unframed: Whether to accept a response without Content-Length or Transfer-Encoding,
            whose body ends when the connection closes.
        framed: Whether the body of the current response has an explicit end.
        request_head: Head of the request in flight.
        released_s: Time at which the connection last returned to the pool, on trio's clock.
        acquired_s: Time at which the connection was last taken from the pool.
        idle_s: How long the connection had been idle in the pool by then; 0 for a new connection.
        attributable: Whether each request so far had an ID and each response named it. Otherwise
            the connection is not reused, since a late copy could not be told from a response.
        carried: IDs of the requests that the connection has carried.
        number: Identifies the connection in this process, for log lines.
        responses_received: Number of responses whose head was received on the connection, skipped
            ones included.
        chunks_since_wait: Number of chunks parsed since bytes were last waited for.
        dense_chunks: Number of chunks of the response that came in such groups of many.
        body_bytes: Number of bytes of the response's body.
    """

    address: str
    stream: trio.abc.Stream
    protocol: h11.Connection = field(
        factory=lambda: h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
    )
    request_sent: bool = False
    response_started: bool = False
    known_clean: bool = False
    method: str = ""
    poller: Any = None
    allow_unframed: bool = False
    framed: bool = True
    request_head: h11.Request | None = None
    released_s: float = 0.0
    acquired_s: float = 0.0
    idle_s: float = 0.0
    attributable: bool = True
    carried: CarriedRequests = field(factory=CarriedRequests)
    number: int = field(factory=partial(next, connection_numbers))
    responses_received: int = 0
    chunks_since_wait: int = 0
    dense_chunks: int = 0
    body_bytes: int = 0

    async def send(self, request: Request) -> Result[ResponseHead, TransportError]:
        """Send a request and receive the head of its response."""
        if not self.known_clean and self.has_unread_bytes():
            return Err(self.make_error(FailureKind.PROTOCOL, "bytes before the request"))
        self.known_clean = False
        self.method = request.method
        try:
            self.request_head = encode_request_head(request, self.address)
            data = self.protocol.send(self.request_head) or b""
            if request.body:
                # The body follows its stated length unchanged; a copy could be very large.
                self.protocol.send_with_data_passthrough(h11.Data(data=request.body))
            self.protocol.send(END_OF_MESSAGE)
        except h11.LocalProtocolError as error:
            return Err(self.make_error(FailureKind.PROTOCOL, str(error)))
        try:
            self.request_sent = True
            if len(request.body) <= MAX_JOINED_BODY_BYTES:
                data += request.body
            await send_remaining(self.stream, data, send_nowait(self.stream, data))
            if len(request.body) > MAX_JOINED_BODY_BYTES:
                await self.stream.send_all(request.body)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            return Err(self.make_error(FailureKind.CLOSED, f"while sending: {error}"))
        return await self._receive_head()

    async def send_and_match(
        self, request: Request, identify: Callable[[ResponseHead], ResponseOwner]
    ) -> Result[ResponseHead, TransportError]:
        """Send a request and receive the head of the first response that belongs to it.

        A late second copy of the response to an earlier request is skipped; the response to this
        request may still follow. The pool sees to it that no earlier request on the connection had
        the same ID. A response that names no request is accepted only as the first one on its
        connection, where it cannot be such a copy.
        """
        received = await self.send(request)
        skipped = 0
        while isinstance(received, Ok):
            owner = identify(received.ok_value)
            if owner is ResponseOwner.THIS:
                return received
            if owner is ResponseOwner.UNNAMED:
                return self._accept_unnamed(received)
            if skipped == MAX_SKIPPED_RESPONSES:
                message = "only responses to other requests were received"
                return Err(self.make_error(FailureKind.PROTOCOL, message))
            skipped += 1
            received = await self.skip_response()
        return received

    def _accept_unnamed(
        self, received: Result[ResponseHead, TransportError]
    ) -> Result[ResponseHead, TransportError]:
        self.attributable = False
        if self.responses_received == 1:
            return received
        message = "a response that names no request follows others on its connection"
        return Err(self.make_error(FailureKind.PROTOCOL, message))

    async def skip_response(self) -> Result[ResponseHead, TransportError]:
        """Discard the response to an earlier request and receive the head of the next response."""
        discarded = await self.discard_body()
        if isinstance(discarded, Err):
            return discarded
        unread, closed = self.protocol.trailing_data
        protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        protocol.send(
            h11.Request(method=self.request_head.method, target="/", headers=[("Host", "-")])
        )
        protocol.send(END_OF_MESSAGE)
        self.protocol = protocol
        if unread:
            protocol.receive_data(unread)
        if closed:
            protocol.receive_data(b"")
        return await self._receive_head()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes or the end of the stream arrived outside of an exchange."""
        if self.protocol.trailing_data[0]:
            return True
        if not isinstance(self.stream, trio.SocketStream):
            return False
        if self.poller is None:
            self.poller = select.poll()
            self.poller.register(self.stream.socket.fileno(), select.POLLIN | select.POLLHUP)
        return bool(self.poller.poll(0))

    async def _receive_head(self) -> Result[ResponseHead, TransportError]:
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = await self._next_event()
            kind = type(event)
            if kind is TransportError:
                return Err(event)
            if kind not in (h11.Response, h11.InformationalResponse):
                return Err(self.make_error(FailureKind.CLOSED, f"got {kind.__name__}"))
            fields = list(event.headers)
            if contains_second_status_line(event.reason, fields):
                message = "the head contains the beginning of another response"
                return Err(self.make_error(FailureKind.PROTOCOL, message))
            if kind is h11.Response:
                self.responses_received += 1
                return self._validate_head(event.status_code, fields)
        return Err(self.make_error(FailureKind.PROTOCOL, "too many informational responses"))

    def _validate_head(
        self, status: int, fields: list[tuple[bytes, bytes]]
    ) -> Result[ResponseHead, TransportError]:
        if status > MAX_STATUS:  # h11 itself rejects a final status below 200.
            return Err(self.make_error(FailureKind.PROTOCOL, f"status {status} is not defined"))
        if not fits_header_limits(fields):
            return Err(self.make_error(FailureKind.PROTOCOL, "header fields too large"))
        head = ResponseHead(status, decode_headers(fields))
        names = [name for name, _ in head.headers]
        if "content-length" in names and "transfer-encoding" in names:
            message = "both Content-Length and Transfer-Encoding"
            return Err(self.make_error(FailureKind.PROTOCOL, message))
        bodiless = self.method == "HEAD" or head.status in (204, 304)
        self.framed = bodiless or bool({"content-length", "transfer-encoding"} & set(names))
        if not self.framed and not self.allow_unframed:
            # The end of the body would look the same as a broken connection.
            return Err(self.make_error(FailureKind.PROTOCOL, "a response without a length"))
        return Ok(head)

    async def receive_chunk(self) -> Result[bytes | None, TransportError]:
        """Receive the next chunk of the response body, or None at its proper end.

        Waits a moment after many chunks that had already been received, and fails if a response
        goes on in very small ones.
        """
        if self.chunks_since_wait >= MAX_CHUNKS_BETWEEN_WAITS:
            self.dense_chunks += self.chunks_since_wait
            self.chunks_since_wait = 0
            if (
                self.dense_chunks > MAX_DENSE_CHUNKS
                and self.body_bytes < self.dense_chunks * MIN_DENSE_CHUNK_BYTES
            ):
                message = f"{self.dense_chunks} chunks have {self.body_bytes} bytes"
                return Err(self.make_error(FailureKind.TOO_LARGE, message))
            await trio.sleep(SMALL_CHUNKS_PAUSE_S)
        return self._chunk_from_event(await self._next_event())

    async def discard_body(self) -> Result[None, TransportError]:
        """Receive the rest of the body without keeping it; fail if it is too large to be worth it.

        Without the limit, a body that never ends would be read until the deadline.
        """
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            match await self.receive_chunk():
                case Err(error):
                    return Err(error)
                case Ok(None):
                    return Ok(None)
                case Ok(data):
                    discarded_bytes += len(data)
        return Err(self.make_error(FailureKind.TOO_LARGE, "the response to be discarded"))

    def receive_chunk_nowait(self) -> Result[bytes | None, TransportError] | None:
        """Return the next chunk if it has already been received, or None.

        Also returns None after many chunks without a wait; ``receive_chunk`` then makes a pause.
        """
        if self.chunks_since_wait >= MAX_CHUNKS_BETWEEN_WAITS:
            return None
        event = self._next_event_nowait()
        return None if event is None else self._chunk_from_event(event)

    def _chunk_from_event(self, event: Any) -> Result[bytes | None, TransportError]:
        kind = type(event)
        if kind is h11.Data:
            self.chunks_since_wait += 1
            self.body_bytes += len(event.data)
            return Ok(bytes(event.data))
        if kind is h11.EndOfMessage:
            return Ok(None)
        if kind is TransportError:
            return Err(event)
        return Err(self.make_error(FailureKind.TRUNCATED, f"got {kind.__name__}"))

    def _next_event_nowait(self) -> Any:
        """Return the next h11 event, a TransportError, or None if more bytes are needed."""
        try:
            event = self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            kind = FailureKind.TRUNCATED if self._is_truncation(error) else FailureKind.PROTOCOL
            return self.make_error(kind, str(error))
        return None if event is h11.NEED_DATA else event

    async def _next_event(self) -> Any:
        """Receive bytes until h11 yields an event; return the event or a TransportError."""
        while (event := self._next_event_nowait()) is None:
            self.chunks_since_wait = 0
            try:
                data = await receive(self.stream, RECEIVE_CHUNK_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
                kind = FailureKind.TRUNCATED if self.response_started else FailureKind.CLOSED
                return self.make_error(kind, str(error))
            self.response_started = self.response_started or bool(data)
            if not data and not self.response_started:
                return self.make_error(FailureKind.CLOSED, "end of stream")
            self.protocol.receive_data(data)
        return event

    @staticmethod
    def _is_truncation(error: h11.RemoteProtocolError) -> bool:
        return "peer closed connection" in str(error) or "peer unexpectedly closed" in str(error)

    def make_error(self, kind: FailureKind, message: str) -> TransportError:
        """Build an error that carries the state of the current request and response."""
        return TransportError(kind, message, self.request_sent, self.response_started)

    def prepare_for_reuse(self) -> bool:
        """Reset the state for another request; return whether the connection can be reused."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        if not self.framed or not self.attributable or self.protocol.trailing_data[0]:
            return False
        if self.carried.is_full:
            return False
        self.protocol.start_next_cycle()
        self.request_sent = self.response_started = False
        self.chunks_since_wait = self.dense_chunks = self.body_bytes = 0
        return True

    async def close(self) -> None:
        """Close the connection without a graceful shutdown."""
        await trio.aclose_forcefully(self.stream)


async def open_connection(
    address: str, timeout_ms: int
) -> Result[ClientConnection, TransportError]:
    """Connect to an address of the form ``<ip>:<port>``."""
    host, port = split_address(address)
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await trio.open_tcp_stream(host, port)
    except trio.TooSlowError:
        return Err(TransportError(FailureKind.TIMEOUT, f"connect to {address}", False))
    except (OSError, OverflowError, UnicodeError) as error:
        return Err(TransportError(FailureKind.CONNECT, f"{address}: {error}", False))
    return Ok(ClientConnection(address, stream))


async def exchange(
    connection: ClientConnection, request: Request, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
) -> Result[Response, TransportError]:
    """Send a request and receive the whole response."""
    head = await connection.send(request)
    if isinstance(head, Err):
        return head
    body = bytearray()
    while True:
        match await connection.receive_chunk():
            case Err(error):
                return Err(error)
            case Ok(None):
                return Ok(Response(head.ok_value.status, head.ok_value.headers, bytes(body)))
            case Ok(data):
                body += data
        if len(body) > max_body_bytes:
            message = f"more than {max_body_bytes} bytes"
            return Err(TransportError(FailureKind.TOO_LARGE, message, True, True))
