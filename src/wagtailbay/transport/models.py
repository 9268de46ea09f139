"""Model HTTP messages and transport errors apart from their encoding."""

from enum import Enum

from attrs import field, frozen

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header; names are compared without case."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


@frozen
class Request:
    """Hold one request; path includes the query, body is complete.

    Attributes:
        host: The host to name to the server; None for the address that it is sent to.
    """

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    host: str | None = None
    _first_values: dict[str, str] = field(init=False, factory=dict, eq=False, repr=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; names are compared without case."""
        return self._header_index().get(name.lower())

    @property
    def has_repeated_headers(self) -> bool:
        """Tell whether any header occurs more than once."""
        return len(self._header_index()) < len(self.headers)

    def _header_index(self) -> dict[str, str]:
        """Return the first value of each header, found at the first look."""
        if not self._first_values:
            self._first_values.update(
                (name.lower(), value) for name, value in reversed(self.headers)
            )
        return self._first_values


@frozen
class ResponseHead:
    """Hold the status line and headers of a response."""

    status: int
    headers: Headers = ()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


@frozen
class Response:
    """Hold a complete response."""

    status: int
    headers: Headers
    body: bytes


class FailureKind(Enum):
    """Name the ways in which an exchange with a server fails."""

    CONNECT = "connect"
    CLOSED = "closed before the response"
    TRUNCATED = "response truncated"
    PROTOCOL = "protocol violation"
    TIMEOUT = "timeout"
    TOO_LARGE = "response too large"


@frozen
class TransportError:
    """Report a failed exchange.

    Attributes:
        kind: How it failed.
        message: The details.
        request_sent: Whether any byte of the request may have reached the server.
        answered: Whether any byte of a response was received.
    """

    kind: FailureKind
    message: str
    request_sent: bool
    response_started: bool = False

    def __str__(self) -> str:
        """Return kind and details."""
        return f"{self.kind.value}: {self.message}"
