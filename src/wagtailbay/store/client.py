"""HTTP client of the platform's object API."""

import json
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.decoding import DECODE_ERRORS
from wagtailbay.store.const import DEFAULT_CALL_TIMEOUT_MS, WATCH_TIMEOUT_MARGIN_MS
from wagtailbay.store.models import (
    Listing,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    VmList,
)
from wagtailbay.store.wire import decode_listing, decode_object, decode_version, decode_vms
from wagtailbay.transport import Request, Response, TransportError, fetch

T = TypeVar("T")


@frozen
class HttpObjectStore:
    """Client of the object API that opens a connection for each call."""

    address: str
    call_timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS

    async def _call(
        self, method: str, path: str, body: Any = None, timeout_ms: int | None = None
    ) -> Result[Response, TransportError]:
        payload = b"" if body is None else json.dumps(body).encode()
        request = Request(method=method, path=path, headers=(), body=payload)
        return await fetch(self.address, request, timeout_ms or self.call_timeout_ms)

    async def _read(
        self, path: str, timeout_ms: int | None = None
    ) -> Result[Response, StoreUnavailable]:
        match await self._call("GET", path, timeout_ms=timeout_ms):
            case Ok(response) if response.status in (200, 404):
                return Ok(response)
            case Ok(response):
                return Err(StoreUnavailable(f"status {response.status}"))
            case Err(error):
                return Err(StoreUnavailable(str(error)))

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object, or None if it does not exist."""
        read_result = await self._read(f"/v1/objects/{quote(key)}")
        if isinstance(read_result, Ok) and read_result.ok_value.status == 404:
            return Ok(None)
        return _decode_response(read_result, decode_object)

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read all objects whose keys start with one of the prefixes."""
        read_result = await self._read(f"/v1/objects?{urlencode({'prefix': ','.join(prefixes)})}")
        return _decode_response(read_result, decode_listing)

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable]:
        """Wait for changes after a revision; the listing is empty after the timeout."""
        query = {"prefix": ",".join(prefixes), "since": since_revision, "timeout_ms": timeout_ms}
        read_result = await self._read(
            f"/v1/watch?{urlencode(query)}", timeout_ms + WATCH_TIMEOUT_MARGIN_MS
        )
        return _decode_response(read_result, decode_listing)

    async def probe(self, timeout_ms: int) -> Result[None, StoreUnavailable]:
        """Check that the store answers this VM."""
        return (await self._read("/v1/vms", timeout_ms)).map(lambda _: None)

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Read the platform's list of live and leaving VMs."""
        read_result = await self._read("/v1/vms")
        return _decode_response(read_result, decode_vms)

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object and return its new version."""
        return await self._write("PUT", key, {"value": value}, expected_version)

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object and return the revision of the deletion."""
        return await self._write("DELETE", key, None, expected_version)

    async def _write(
        self, method: str, key: str, body: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        query = "" if expected_version is None else f"?expected_version={expected_version}"
        match await self._call(method, f"/v1/objects/{quote(key)}{query}", body):
            case Ok(response) if response.status in (200, 409):
                return _decode_write_response(key, response)
            case Ok(response) if response.status == 503:
                return Err(StoreUnavailable("the platform refused the write"))
            case Ok(response):
                return Err(OutcomeUnknown(key, f"status {response.status}"))
            case Err(error):
                return Err(classify_write_failure(key, error))


def classify_write_failure(key: str, error: TransportError) -> StoreError:
    """Return the error of a write that got no response: whether it may have taken effect."""
    if not error.request_sent:
        return StoreUnavailable(str(error))
    return OutcomeUnknown(key, str(error))


def _decode_response(
    read_result: Result[Response, StoreUnavailable], decode: Callable[[bytes], T]
) -> Result[T, StoreUnavailable]:
    """Decode the response to a read; a malformed one counts as an unavailable store."""
    if isinstance(read_result, Err):
        return read_result
    try:
        return Ok(decode(read_result.ok_value.body))
    except DECODE_ERRORS as error:
        return Err(StoreUnavailable(f"malformed answer: {type(error).__name__}: {error}"))


def _decode_write_response(key: str, response: Response) -> Result[int, StoreError]:
    """Decode the response to a write, which took effect if the status is 200 but not if 409."""
    try:
        version = decode_version(response.body)
    except DECODE_ERRORS as error:
        return Err(OutcomeUnknown(key, f"malformed answer: {type(error).__name__}: {error}"))
    return Ok(version) if response.status == 200 else Err(VersionConflict(key, version))
