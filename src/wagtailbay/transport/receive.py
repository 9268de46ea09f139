"""Receive requests and refuse those whose meaning could differ between two readers."""

import h11
import trio
from attrs import define, frozen
from result import Err, Ok, Result

from wagtailbay.transport.const import (
    IDLE_CONNECTION_TIMEOUT_S,
    MAX_HEADER_BYTES,
    MAX_HEADER_FIELDS,
    REQUEST_RECEIVE_TIMEOUT_S,
)
from wagtailbay.transport.inbox import ConnectionReader
from wagtailbay.transport.models import Request
from wagtailbay.transport.wire import decode_headers, fits_header_limits

# Names in lower case and values, taken once from h11, whose own list is slow to walk through.
HeaderFields = list[tuple[bytes, bytes]]


@frozen
class BadRequest:
    """Describe a request that is refused before any handler sees it."""

    status: int
    code: str
    message: str


REQUEST_TIMED_OUT = BadRequest(408, "request_timeout", "the request did not arrive in time")


@define
class RequestReceiver:
    """Receive one request after another from a caller's connection."""

    reader: ConnectionReader
    protocol: h11.Connection
    max_body_bytes: int
    idle_timeout_s: float = IDLE_CONNECTION_TIMEOUT_S
    receive_timeout_s: float = REQUEST_RECEIVE_TIMEOUT_S

    async def receive(self) -> Result[Request, BadRequest] | None:
        """Receive a whole request; None when the caller closed or stayed idle."""
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
            # Compared by type, since h11's events are abstract classes whose instance checks in
            # a match cost 15 us a request.
            kind = type(event)
            if kind is h11.Request:
                deadline_s = trio.current_time() + self.receive_timeout_s
                fields = list(event.headers)
                bad_request = check_request_head(event, fields)
                if bad_request is not None:
                    return Err(bad_request)
                head = event
            elif kind is h11.Data:
                body += event.data
                if len(body) > self.max_body_bytes:
                    message = f"the body exceeds {self.max_body_bytes} bytes"
                    return Err(BadRequest(413, "body_too_large", message))
            elif kind is h11.EndOfMessage and head is not None:
                if not waited:
                    # Many requests sent at once must not keep other tasks from running.
                    await trio.lowlevel.checkpoint()
                return Ok(build_request(head, fields, bytes(body)))
            elif event is not h11.NEED_DATA:
                return None
            else:
                waited = True
                if not await self._receive_bytes(deadline_s, head is None):
                    return None if head is None else Err(REQUEST_TIMED_OUT)

    async def _receive_bytes(self, deadline_s: float, idle: bool) -> bool:
        """Feed received bytes to h11; False when the wait ended without any."""
        if self.protocol.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.reader.stream.send_all(self.protocol.send(continue_response) or b"")
        data = await self.reader.read(deadline_s, idle)
        if data is None:
            return False
        self.protocol.receive_data(data)
        return True


def check_request_head(head: h11.Request, fields: HeaderFields) -> BadRequest | None:
    """Return why a request's head is refused, or None.

    h11 has already refused differing Content-Length fields, other codings than chunked, and
    invalid characters in names and values.
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
        # HTTP/1.0 marks the end of an answer of unknown length only by closing.
        return BadRequest(505, "malformed_request", "only HTTP/1.1 is supported")
    else:
        return None
    return BadRequest(400, "malformed_request", message)


def build_request(head: h11.Request, fields: HeaderFields, body: bytes) -> Request:
    """Build a request; h11 admits only visible ASCII in method and target."""
    method, path = head.method.decode("ascii"), head.target.decode("ascii")
    return Request(method, path, decode_headers(fields), body)
