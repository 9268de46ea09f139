"""HTTP messages and transport errors, independent of their encoding."""

from enum import Enum

from attrs import field, frozen

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None; names are case-insensitive."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


@frozen
class Request:
    """HTTP request with its complete body.

    Attributes:
        path: Path including the query string.
        host: Value of the Host header; None for the address that the request is sent to.
    """

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    host: str | None = None
    _first_values: dict[str, str] = field(init=False, factory=dict, eq=False, repr=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; names are case-insensitive."""
        return self._header_index().get(name.lower())

    @property
    def has_repeated_headers(self) -> bool:
        """Return whether any header occurs more than once."""
        return len(self._header_index()) < len(self.headers)

    def _header_index(self) -> dict[str, str]:
        """Return the first value of each header by lower-case name, computed on first use."""
        if not self._first_values:
            self._first_values.update(
                (name.lower(), value) for name, value in reversed(self.headers)
            )
        return self._first_values


@frozen
class ResponseHead:
    """Status code and headers of an HTTP response."""

    status: int
    headers: Headers = ()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; names are case-insensitive."""
        return find_header(self.headers, name)


class ResponseOwner(Enum):
    """Request to which a response belongs, as far as its head says."""

    THIS = "this request"
    OTHER = "another request"
    UNNAMED = "no request named"


@frozen
class Response:
    """HTTP response with its complete body."""

    status: int
    headers: Headers
    body: bytes


class FailureKind(Enum):
    """Kind of failure of an exchange with a server."""

    CONNECT = "connect"
    CLOSED = "closed before the response"
    TRUNCATED = "response truncated"
    PROTOCOL = "protocol violation"
    TIMEOUT = "timeout"
    TOO_LARGE = "response too large"


@frozen
class TransportError:
    """Failed exchange with a server.

    Attributes:
        kind: Kind of failure.
        message: Details of the failure.
        request_sent: Whether any byte of the request may have reached the server.
        response_started: Whether any byte of a response was received.
    """

    kind: FailureKind
    message: str
    request_sent: bool
    response_started: bool = False

    def __str__(self) -> str:
        """Format the kind and the details."""
        return f"{self.kind.value}: {self.message}"
