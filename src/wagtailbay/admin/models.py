"""Model the requests, answers and errors of the administration API."""

from collections.abc import Mapping
from typing import Any

from attrs import field, frozen
from result import Result

from wagtailbay.config import DocumentFault

FieldErrors = tuple[DocumentFault, ...]


@frozen
class ApiRequest:
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
class ApiResponse:
    """Hold a status and a JSON value."""

    status: int
    value: Any


@frozen
class AdminError:
    """Describe why a request failed.

    Attributes:
        code: Stable, documented in docs/api.md.
        field_errors: Which fields are at fault; never empty.
        current_version: The version in the store where another write came first.
    """

    status: int
    code: str
    message: str
    field_errors: FieldErrors
    current_version: int | None = None


ApiResult = Result[ApiResponse, AdminError]


def invalid_input(errors: FieldErrors) -> AdminError:
    """Build the error for input that breaks its rules."""
    message = "; ".join(map(str, errors[:3]))
    more = f"; and {len(errors) - 3} more" if len(errors) > 3 else ""
    return AdminError(422, "invalid", message + more, errors)


def invalid_field(path: str, message: str) -> AdminError:
    """Build the error for one field."""
    return invalid_input((DocumentFault(path, message),))


def not_found(path: str, message: str) -> AdminError:
    """Build the error for a thing that does not exist."""
    return AdminError(404, "unknown", message, (DocumentFault(path, message),))


def store_unavailable(reason: str) -> AdminError:
    """Build the error for a call that certainly changed nothing."""
    message = f"the store does not answer, nothing was changed: {reason}"
    error = DocumentFault("(store)", message)
    return AdminError(503, "store_unavailable", message, (error,))


def outcome_unknown(key: str, reason: str) -> AdminError:
    """Build the error for a write that may have taken effect."""
    message = f"{key} may or may not have been written; read it before trying again: {reason}"
    return AdminError(503, "outcome_unknown", message, (DocumentFault("(store)", message),))


def version_conflict(key: str, expected: int, current: int) -> AdminError:
    """Build the error for a write that came after another one."""
    message = f"{key} has version {current}, expected version {expected}"
    error = DocumentFault("expected_version", message)
    return AdminError(409, "version_conflict", message, (error,), current)
