"""Client of the administration API and of the entry VMs."""

import json
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.config import decode_json
from wagtailbay.ctl.const import (
    EXIT_CONFLICT,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_REFUSED,
    EXIT_UNAUTHORIZED,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
)
from wagtailbay.ctl.models import Failure
from wagtailbay.transport import Request, Response, fetch

EXIT_STATUS_BY_ERROR_CODE = {
    "version_conflict": EXIT_CONFLICT,
    "store_unavailable": EXIT_UNAVAILABLE,
    "unauthorized": EXIT_UNAUTHORIZED,
    "outcome_unknown": EXIT_OUTCOME_UNKNOWN,
}


@frozen
class AdminClient:
    """HTTP client that authenticates with an admin token."""

    address: str
    token: str
    timeout_ms: int

    async def call(self, method: str, path: str, body: Any = None) -> Result[Any, Failure]:
        """Send a request and return the decoded JSON body of a successful response."""
        if not self.address:
            return Err(Failure(EXIT_USAGE, "set --admin-address or WAGTAILBAY_ADMIN_ADDRESS"))
        if not self.token or not self.token.isascii() or not self.token.isprintable():
            message = "set --token or WAGTAILBAY_TOKEN to printable ASCII characters"
            return Err(Failure(EXIT_USAGE, message))
        headers = (("Authorization", f"Bearer {self.token}"),)
        data = b"" if body is None else json.dumps(body).encode()
        return await self._send(Request(method, path, headers, data))

    async def _send(self, request: Request) -> Result[Any, Failure]:
        match await fetch(self.address, request, self.timeout_ms):
            case Err(error) if error.request_sent and request.method != "GET":
                message = f"{self.address}: {error}; the change may have been applied"
                return Err(Failure(EXIT_OUTCOME_UNKNOWN, message))
            case Err(error):
                return Err(Failure(EXIT_UNAVAILABLE, f"{self.address}: {error}"))
            case Ok(response):
                return decode_response(response)


async def request_entry_vm(address: str, path: str, timeout_ms: int) -> Result[Any, Failure]:
    """Send a GET request to an entry VM and return the decoded JSON body."""
    if not address:
        return Err(Failure(EXIT_USAGE, "set --entry-address or WAGTAILBAY_ENTRY_ADDRESS"))
    match await fetch(address, Request("GET", path), timeout_ms):
        case Err(error):
            return Err(Failure(EXIT_UNAVAILABLE, f"{address}: {error}"))
        case Ok(response):
            return decode_response(response)


def decode_response(response: Response) -> Result[Any, Failure]:
    """Return the JSON body of a response, or the error that the response describes."""
    decoded = decode_json(response.body)
    if isinstance(decoded, Err) or not isinstance(decoded.ok_value, dict):
        message = f"response with status {response.status} is not a JSON object; check the address"
        return Err(Failure(EXIT_UNAVAILABLE, message))
    value = decoded.ok_value
    if 200 <= response.status < 300:
        return Ok(value)
    error = value.get("error")
    if not isinstance(error, dict):
        return Err(Failure(EXIT_REFUSED, f"request failed with status {response.status}"))
    status = EXIT_STATUS_BY_ERROR_CODE.get(str(error.get("code")), EXIT_REFUSED)
    return Err(Failure(status, f"{error.get('code')}: {_error_message(error)}"))


def _error_message(error: dict[str, Any]) -> str:
    """Return the message of an error; if it lists several field errors, join these in one line."""
    errors = error.get("faults")
    if not isinstance(errors, list) or len(errors) < 2:
        return str(error.get("message"))
    return "; ".join(
        f"{item.get('path')}: {item.get('message')}" for item in errors if isinstance(item, dict)
    )
