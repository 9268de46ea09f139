"""Model the requests, answers and errors of the administration API."""

from collections.abc import Mapping
from typing import Any

from attrs import field, frozen
from result import Result

from wagtailbay.config import DocumentError

Faults = tuple[DocumentError, ...]


@frozen
class Call:
    """Hold one request after routing, authentication and decoding.

    Attributes:
        operator: The name that belongs to the admin token; empty on paths without one.
        parameters: The variable parts of the path.
        query: The first value of each query field.
        body: The decoded body, checked against its schema; None where there is none.
    """

    operator: str
    parameters: Mapping[str, str] = field(factory=dict)
    query: Mapping[str, str] = field(factory=dict)
    body: Any = None


@frozen
class Answer:
    """Hold a status and a JSON value."""

    status: int
    value: Any


@frozen
class AdminError:
    """Describe why a request failed.

    Attributes:
        code: Stable, documented in docs/api.md.
        faults: Which fields are at fault; never empty.
        current_version: The version in the store where another write came first.
    """

    status: int
    code: str
    message: str
    faults: Faults
    current_version: int | None = None


Outcome = Result[Answer, AdminError]


def invalid(faults: Faults) -> AdminError:
    """Build the error for input that breaks its rules."""
    message = "; ".join(map(str, faults[:3]))
    more = f"; and {len(faults) - 3} more" if len(faults) > 3 else ""
    return AdminError(422, "invalid", message + more, faults)


def invalid_field(path: str, message: str) -> AdminError:
    """Build the error for one field."""
    return invalid((DocumentError(path, message),))


def unknown_object(path: str, message: str) -> AdminError:
    """Build the error for a thing that does not exist."""
    return AdminError(404, "unknown", message, (DocumentError(path, message),))


def store_unavailable(reason: str) -> AdminError:
    """Build the error for a call that certainly changed nothing."""
    message = f"the store does not answer, nothing was changed: {reason}"
    fault = DocumentError("(store)", message)
    return AdminError(503, "store_unavailable", message, (fault,))


def outcome_unknown(key: str, reason: str) -> AdminError:
    """Build the error for a write that may have taken effect."""
    message = f"{key} may or may not have been written; read it before trying again: {reason}"
    return AdminError(503, "outcome_unknown", message, (DocumentError("(store)", message),))


def conflict(key: str, expected: int, current: int) -> AdminError:
    """Build the error for a write that came after another one."""
    message = f"{key} has version {current}, expected version {expected}"
    fault = DocumentError("expected_version", message)
    return AdminError(409, "version_conflict", message, (fault,), current)
