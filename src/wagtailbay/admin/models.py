"""Requests, responses and errors of the administration API."""

from collections.abc import Mapping
from typing import Any

from attrs import field, frozen
from result import Result

from wagtailbay.config import DocumentError

FieldErrors = tuple[DocumentError, ...]


@frozen
class ApiRequest:
    """Represents a request after routing, authentication and decoding.

    Attributes:
        operator: The operator that the admin token identifies; empty if the path needs no token.
        parameters: Values of the path parameters by name.
        query: The first value of each query field.
        body: The decoded body, validated against its schema; None if the endpoint takes no body.
    """

    operator: str
    parameters: Mapping[str, str] = field(factory=dict)
    query: Mapping[str, str] = field(factory=dict)
    body: Any = None


@frozen
class ApiResponse:
    """Represents a successful response: an HTTP status and a JSON value."""

    status: int
    value: Any


@frozen
class AdminError:
    """Describes why a request failed.

    Attributes:
        code: A stable error code, documented in docs/api.md.
        field_errors: The errors of single fields; never empty.
        current_version: The version in the store if the request conflicts with another write.
    """

    status: int
    code: str
    message: str
    field_errors: FieldErrors
    current_version: int | None = None


ApiResult = Result[ApiResponse, AdminError]


def invalid_input(errors: FieldErrors) -> AdminError:
    """Return the error for invalid input; the message names the first three errors."""
    message = "; ".join(map(str, errors[:3]))
    more = f"; and {len(errors) - 3} more" if len(errors) > 3 else ""
    return AdminError(422, "invalid", message + more, errors)


def invalid_field(path: str, message: str) -> AdminError:
    """Return the error for one invalid field."""
    return invalid_input((DocumentError(path, message),))


def not_found(path: str, message: str) -> AdminError:
    """Return the error for an object that does not exist."""
    return AdminError(404, "unknown", message, (DocumentError(path, message),))


def store_unavailable(reason: str) -> AdminError:
    """Return the error for a failed store call that is known to have changed nothing."""
    message = f"the store does not answer, nothing was changed: {reason}"
    error = DocumentError("(store)", message)
    return AdminError(503, "store_unavailable", message, (error,))


def outcome_unknown(key: str, reason: str) -> AdminError:
    """Return the error for a write that may have taken effect."""
    message = f"{key} may or may not have been written; read it before trying again: {reason}"
    return AdminError(503, "outcome_unknown", message, (DocumentError("(store)", message),))


def version_conflict(key: str, expected: int, current: int) -> AdminError:
    """Return the error for a write whose expected version is not the current one."""
    message = f"{key} has version {current}, expected version {expected}"
    error = DocumentError("expected_version", message)
    return AdminError(409, "version_conflict", message, (error,), current)
