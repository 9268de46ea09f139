"""Parse requests and reject those that two HTTP parsers could interpret differently."""

import h11
import trio
from attrs import define, frozen
from result import Err, Ok, Result

from wagtailbay.transport.body_budget import BodyBudget
from wagtailbay.transport.connection_reader import ConnectionReader
from wagtailbay.transport.const import (
    IDLE_CONNECTION_TIMEOUT_S,
    MAX_CHUNKS_BETWEEN_WAITS,
    MAX_HEADER_BYTES,
    MAX_HEADER_FIELDS,
    MAX_UNCOUNTED_BODY_BYTES,
    REQUEST_RECEIVE_TIMEOUT_S,
    SMALL_CHUNKS_PAUSE_S,
)
from wagtailbay.transport.models import Request
from wagtailbay.transport.wire import decode_headers, fits_header_limits

# Lower-case names and values, copied from h11 once because its header list is slow to iterate.
HeaderFields = list[tuple[bytes, bytes]]


@frozen
class BadRequest:
    """Error response to a request that is rejected before it reaches a handler."""

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


BODY_MEMORY_EXHAUSTED = BadRequest(
    503, "vm_overloaded", "the bodies of other requests use the memory of this VM", 1.0
)
REQUEST_TIMED_OUT = BadRequest(408, "request_timeout", "the request did not arrive in time")


@define
class RequestReceiver:
    """Receiver of successive requests on a caller's connection.

    Attributes:
        body_budget: Memory that bodies may take, shared with all connections of the process.
        reserved_bytes: Part of it that the current request holds, until ``release_body``.
        chunks_since_wait: Number of chunks parsed since bytes were last waited for.
    """

    reader: ConnectionReader
    protocol: h11.Connection
    max_body_bytes: int
    body_budget: BodyBudget
    idle_timeout_s: float = IDLE_CONNECTION_TIMEOUT_S
    receive_timeout_s: float = REQUEST_RECEIVE_TIMEOUT_S
    reserved_bytes: int = 0
    chunks_since_wait: int = 0

    def release_body(self) -> None:
        """Give back the memory of the current request's body."""
        self.body_budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    async def receive(self) -> Result[Request, BadRequest] | None:
        """Receive a whole request, or None if the connection closed or stayed idle."""
        head: h11.Request | None = None
        fields: HeaderFields = []
        body = bytearray()
        deadline_s = trio.current_time() + self.idle_timeout_s
        waited = False
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                return Err(
                    BadRequest(error.error_status_hint, "malformed_request", str(error)[:200])
                )
            # Comparing types avoids isinstance checks in a match statement, which cost 15 us per
            # request because h11's events are abstract classes.
            kind = type(event)
            if kind is h11.Request:
                fields = list(event.headers)
                bad_request = check_request_head(event, fields)
                if bad_request is not None:
                    return Err(bad_request)
                if not await self._reserve_stated_length(fields):
                    return Err(BODY_MEMORY_EXHAUSTED)
                deadline_s = trio.current_time() + self.receive_timeout_s
                head = event
            elif kind is h11.Data:
                bad_request = await self._add_data(body, event.data)
                if bad_request is not None:
                    return Err(bad_request)
            elif kind is h11.EndOfMessage and head is not None:
                if not waited:
                    # Lets other tasks run while the caller pipelines many requests.
                    await trio.lowlevel.checkpoint()
                return Ok(build_request(head, fields, bytes(body)))
            elif event is not h11.NEED_DATA:
                return None
            else:
                waited = True
                if not await self._receive_bytes(deadline_s, head is None):
                    return None if head is None else Err(REQUEST_TIMED_OUT)

    async def _add_data(self, body: bytearray, data: bytes) -> BadRequest | None:
        """Add a part of the body; return the error if the body is too large."""
        body += data
        self.chunks_since_wait += 1
        if self.chunks_since_wait >= MAX_CHUNKS_BETWEEN_WAITS:
            self.chunks_since_wait = 0
            await trio.sleep(SMALL_CHUNKS_PAUSE_S)
        if len(body) > self.max_body_bytes:
            return BadRequest(
                413, "body_too_large", f"the body exceeds {self.max_body_bytes} bytes"
            )
        if not self._reserve_received(len(body)):
            return BODY_MEMORY_EXHAUSTED
        return None

    async def _receive_bytes(self, deadline_s: float, idle: bool) -> bool:
        """Pass received bytes to h11; return whether any arrived before the wait ended."""
        self.chunks_since_wait = 0
        if self.protocol.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.reader.stream.send_all(self.protocol.send(continue_response) or b"")
        data = await self.reader.read(deadline_s, idle)
        if data is None:
            return False
        self.protocol.receive_data(data)
        return True

    async def _reserve_stated_length(self, fields: HeaderFields) -> bool:
        """Wait for the memory of a body whose length is stated; return False after the timeout."""
        length = next((value for name, value in fields if name == b"content-length"), b"0")
        size_bytes = min(int(length), self.max_body_bytes)
        if size_bytes <= MAX_UNCOUNTED_BODY_BYTES:
            return True
        if not await self.body_budget.reserve(size_bytes, self.receive_timeout_s):
            return False
        self.reserved_bytes = size_bytes
        return True

    def _reserve_received(self, received_bytes: int) -> bool:
        """Reserve the memory of a body in chunks as it grows, without waiting.

        Two such bodies that waited for each other would both time out.
        """
        missing_bytes = received_bytes - self.reserved_bytes
        if received_bytes > MAX_UNCOUNTED_BODY_BYTES and missing_bytes > 0:
            if not self.body_budget.try_reserve(missing_bytes):
                return False
            self.reserved_bytes = received_bytes
        return True


def check_request_head(head: h11.Request, fields: HeaderFields) -> BadRequest | None:
    """Return the error for an unacceptable request head, or None.

    h11 has already rejected conflicting Content-Length fields, transfer codings other than
    chunked, and invalid characters in names and values.
    """
    names = [name for name, _ in fields]
    if b"transfer-encoding" in names and b"content-length" in names:
        message = "both Content-Length and Transfer-Encoding"
    elif head.method == b"CONNECT":
        message = "CONNECT is not supported"
    elif not fits_header_limits(fields):
        message = f"more than {MAX_HEADER_FIELDS} header fields or {MAX_HEADER_BYTES} bytes of them"
        return BadRequest(431, "malformed_request", message)
    elif head.http_version != b"1.1":
        # In HTTP/1.0 only closing the connection ends a response of unknown length.
        return BadRequest(505, "malformed_request", "only HTTP/1.1 is supported")
    else:
        return None
    return BadRequest(400, "malformed_request", message)


def parse_bodiless_request(protocol: h11.Connection) -> Request | None:
    """Return the request in received bytes if it is whole, acceptable and has no body."""
    try:
        head = protocol.next_event()
        if type(head) is not h11.Request or protocol.they_are_waiting_for_100_continue:
            return None
        fields = list(head.headers)
        if check_request_head(head, fields) is not None:
            return None
        if type(protocol.next_event()) is not h11.EndOfMessage:
            return None
    except h11.RemoteProtocolError:
        return None
    return build_request(head, fields, b"")


def build_request(head: h11.Request, fields: HeaderFields, body: bytes) -> Request:
    """Build a request; h11 allows only visible ASCII in the method and the target."""
    method, path = head.method.decode("ascii"), head.target.decode("ascii")
    return Request(method, path, decode_headers(fields), body)
