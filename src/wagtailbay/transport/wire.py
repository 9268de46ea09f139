"""Conversion between HTTP messages and h11 events."""

import re
from collections.abc import Iterable, Sequence

import h11

from wagtailbay.transport.const import MAX_HEADER_BYTES, MAX_HEADER_FIELDS
from wagtailbay.transport.models import Headers, Request, ResponseHead

END_OF_MESSAGE = h11.EndOfMessage()
STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.[0-9] [0-9]{3}\b")
# Fields that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Decode header names from ASCII and values from Latin-1."""
    return tuple([(name.decode("ascii"), value.decode("latin-1")) for name, value in headers])


def fits_header_limits(headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Return whether headers fit the limits; h11 limits only the size of an incomplete head."""
    size_bytes = sum([len(name) + len(value) for name, value in headers])
    return len(headers) <= MAX_HEADER_FIELDS and size_bytes <= MAX_HEADER_BYTES


def contains_second_status_line(reason: bytes, headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Return whether the reason phrase or a header value of a head contains a status line.

    A response that breaks off there and is followed by another one on the same connection reads as
    a single head, with the status of the first and the rest of the second.
    """
    texts = (reason, *(value for _, value in headers))
    return any(b"HTTP/1." in text and STATUS_LINE_PATTERN.search(text) for text in texts)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Encode header names as ASCII and values as Latin-1."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def end_to_end_headers(headers: Headers) -> Headers:
    """Remove hop-by-hop fields, including those that the Connection field lists."""
    excluded = HOP_BY_HOP_HEADERS
    lower_names = [name.lower() for name, _ in headers]
    if "connection" in lower_names:
        excluded = excluded.union(
            token.strip().lower()
            for name, (_, value) in zip(lower_names, headers, strict=True)
            if name == "connection"
            for token in value.split(",")
        )
    return tuple(
        [field for name, field in zip(lower_names, headers, strict=True) if name not in excluded]
    )


def encode_request_head(request: Request, host: str) -> h11.Request:
    """Encode the head of a request, setting Host and Content-Length."""
    headers = [(n, v) for n, v in request.headers if n.lower() not in ("host", "content-length")]
    headers.append(("Host", request.host or host))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(request.body))))
    return h11.Request(
        method=request.method, target=request.path, headers=encode_headers(tuple(headers))
    )


def encode_response_head(head: ResponseHead) -> h11.Response:
    """Encode the head of a response."""
    return h11.Response(status_code=head.status, headers=encode_headers(head.headers))


def build_server_protocol() -> h11.Connection:
    """Return a server protocol with the limit for the size of a request's head."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)


def build_unframed_protocol() -> h11.Connection:
    """Return a server protocol whose response, if it states no length, ends with the connection.

    h11 sends such a response in chunks to a caller of HTTP/1.1, which states an end of its own.
    """
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b"GET / HTTP/1.0\r\n\r\n")
    protocol.next_event()
    protocol.next_event()
    return protocol
