"""HTTP client of the platform's object store."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from attrs import define, evolve
from result import Err, Ok, Result

from wagtailbay.decoding import DECODE_ERRORS, parse_json, require_count
from wagtailbay.logs import log_event
from wagtailbay.platform.const import (
    CALL_TIMEOUT_MS,
    ERA_HEADER,
    MAX_PAGES,
    MAX_RESPONSE_BYTES,
    VMS_KIND,
    WATCH_TIMEOUT_MARGIN_MS,
)
from wagtailbay.platform.decode import NAMES_BY_PHASE
from wagtailbay.platform.objects import (
    decode_stored_object,
    decode_vm_record,
    decode_watch_events,
    kind_for_prefix,
    split_object_key,
)
from wagtailbay.rollout import RolloutOrder, RolloutPhase
from wagtailbay.store import (
    MAX_ERA,
    MAX_REVISION,
    HistoryLost,
    Listing,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StorePosition,
    StoreUnavailable,
    VersionConflict,
    VmList,
    WatchError,
    WatchInterrupted,
    classify_write_failure,
)
from wagtailbay.transport import FailureKind, Request, Response, TransportError, fetch
from wagtailbay.transport.models import find_header

ObjectItems = list[dict[str, Any]]
StoredObjects = list[StoredObject]
JSON_HEADERS = (("Content-Type", "application/json"),)


@define
class PlatformStore:
    """Reads and writes the product's objects in the platform's store.

    Each call has a connection of its own, because the store's responses do not name their call.
    After the store came back from an older copy, revisions are given out again. Versions and
    revisions therefore include the era that each response states.

    Attributes:
        era: Highest era seen; a response that states none belongs to it.
        unusable_era: Last stated era that is no whole number, so that it is logged once.
    """

    address: str
    era: int = 0
    unusable_era: str = ""

    async def _call(
        self, method: str, path: str, body: Any = None, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Result[Response, TransportError]:
        payload = b"" if body is None else json.dumps(body).encode()
        headers = () if body is None else JSON_HEADERS
        return await fetch(
            self.address,
            Request(method, path, headers, payload),
            timeout_ms,
            max_body_bytes=MAX_RESPONSE_BYTES,
        )

    def _read_era(self, response: Response) -> int:
        """Return the era that a response states, and remember the highest one."""
        text = find_header(response.headers, ERA_HEADER)
        if text is None:
            return self.era
        era = _parse_era(text)
        if era is None:
            if text != self.unusable_era:
                log_event("store_era_unusable", value=text[:80])
            self.unusable_era = text
            return self.era
        self.era = max(self.era, era)
        return era

    async def _read(
        self, path: str, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Result[tuple[int, dict[str, Any] | None], StoreUnavailable | HistoryLost]:
        """Read a JSON object with the era of the response; None if the path does not exist."""
        match await self._call("GET", path, timeout_ms=timeout_ms):
            case Err(error):
                return Err(StoreUnavailable(str(error)))
            case Ok(response):
                return self._decode_read(response)

    def _decode_read(
        self, response: Response
    ) -> Result[tuple[int, dict[str, Any] | None], StoreUnavailable | HistoryLost]:
        era = self._read_era(response)
        match response.status:
            case 200:
                return _decode_response(response.body).map(lambda value: (era, value))
            case 404:
                return Ok((era, None))
            case 410:
                return Err(HistoryLost())
        return Err(StoreUnavailable(f"status {response.status}"))

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object; return None if it does not exist or is malformed."""
        kind, name = split_object_key(key)
        match await self._read(f"/objects/{kind}/{quote(name, safe='')}"):
            case Err(HistoryLost()):
                return Err(StoreUnavailable("status 410"))
            case Err(error):
                return Err(error)
            case Ok((_, None)):
                return Ok(None)
            case Ok((era, item)):
                stored = decode_stored_object(key.partition("/")[0] + "/", item)
                return Ok(stored and _in_era(stored, era))

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """List all objects under the prefixes with one listing per kind.

        The revision is the lowest of all listings, so that a later watch misses no change.
        """
        objects: StoredObjects = []
        revision: int | None = None
        for prefix in prefixes:
            list_result = await self._list_kind(kind_for_prefix(prefix))
            if isinstance(list_result, Err):
                return list_result
            position, items = list_result.ok_value
            kind_revision = position.version
            revision = kind_revision if revision is None else min(revision, kind_revision)
            stored_objects = (decode_stored_object(prefix, item) for item in items)
            objects += [
                _in_era(stored_object, position.era)
                for stored_object in stored_objects
                if stored_object is not None
            ]
        return Ok(Listing(revision or 0, tuple(objects)))

    async def _list_kind(
        self, kind: str
    ) -> Result[tuple[StorePosition, ObjectItems], StoreUnavailable]:
        """Read all pages of a kind, which must be of one era.

        The position is that of the first page, because objects on it may change while later
        pages are read.
        """
        items: ObjectItems = []
        first: StorePosition | None = None
        after = ""
        for _ in range(MAX_PAGES):
            read_result = await self._read(
                f"/objects/{kind}" + (f"?after={quote(after)}" if after else "")
            )
            if isinstance(read_result, Err):
                return Err(StoreUnavailable(str(read_result.err_value)))
            era, page = read_result.ok_value
            page = page or {"items": [], "at": 0}
            try:
                position = StorePosition(era, require_count(page["at"], maximum=MAX_REVISION))
                first = first or position
                if position.era != first.era:
                    return Err(StoreUnavailable(f"the era changed in the listing of {kind}"))
                items += page["items"]
                if not page.get("has_more"):
                    return Ok((first, items))
                after = _last_name(page["items"], after)
            except DECODE_ERRORS as error:
                return Err(StoreUnavailable(f"malformed listing: {error}"[:200]))
        return Err(StoreUnavailable(f"the listing of {kind} has too many pages"))

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, WatchError]:
        """Wait for changes under exactly one prefix; return an empty listing on timeout."""
        (prefix,) = prefixes
        since = StorePosition.from_version(since_revision)
        if since.era < self.era:
            return Err(HistoryLost())
        path = f"/objects/{kind_for_prefix(prefix)}?watch={since.revision}&wait_ms={timeout_ms}"
        call_result = await self._call("GET", path, timeout_ms=timeout_ms + WATCH_TIMEOUT_MARGIN_MS)
        if isinstance(call_result, Err):
            return Err(_classify_watch_failure(call_result.err_value))
        read_result = self._decode_read(call_result.ok_value)
        if isinstance(read_result, Err):
            return read_result
        era, page = read_result.ok_value
        if era != since.era:
            # The revision belongs to another history; what happened since is not known.
            return Err(HistoryLost())
        if page is None:
            return Ok(Listing(since_revision, ()))
        try:
            revision = require_count(page["at"], maximum=MAX_REVISION)
            objects = decode_watch_events(prefix, page["events"], revision)
        except DECODE_ERRORS as error:
            return Err(StoreUnavailable(f"malformed watch response: {error}"[:200]))
        in_era = tuple(_in_era(stored, era) for stored in objects)
        return Ok(Listing(StorePosition(era, revision).version, in_era))

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write one of the product's own objects and return its new version.

        Args:
            expected_version: Version that the stored object must have; 0 if it must not exist,
                None to overwrite any existing version.
        """
        kind, name = split_object_key(key)
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        body = {"meta": meta, "spec": value}
        path = f"/objects/{kind}/{quote(name, safe='')}"
        if expected_version == 0:
            return await self._write(key, "POST", path, body)
        if expected_version is not None:
            meta["revision"] = StorePosition.from_version(expected_version).revision
        return await self._write(key, "PUT", path, body, expected_version)

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object if it has the expected version; None deletes any version."""
        kind, name = split_object_key(key)
        query = ""
        if expected_version is not None:
            query = f"?revision={StorePosition.from_version(expected_version).revision}"
        path = f"/objects/{kind}/{quote(name, safe='')}{query}"
        return await self._write(key, "DELETE", path, None, expected_version)

    async def write_phase(
        self, order: RolloutOrder, version: int, phase: RolloutPhase
    ) -> Result[int, StoreError]:
        """Write the phase of a rollout, on the condition that its order is unchanged."""
        name = order.service
        status = {"state": NAMES_BY_PHASE[phase], "target_version": order.target_version}
        revision = StorePosition.from_version(version).revision
        body = {"meta": {"name": name, "revision": revision}, "status": status}
        path = f"/objects/rollouts/{quote(name, safe='')}/status"
        return await self._write(f"rollouts/{name}", "PUT", path, body, version)

    async def _write(
        self, key: str, method: str, path: str, body: Any, expected_version: int | None = None
    ) -> Result[int, StoreError]:
        """Write an object; a version of an earlier era names nothing that the store has."""
        expected = StorePosition.from_version(expected_version or 0)
        if expected_version and expected.era < self.era:
            return Err(VersionConflict(key, 0))
        call_result = await self._call(method, path, body)
        if isinstance(call_result, Err):
            return Err(classify_write_failure(key, call_result.err_value))
        response = call_result.ok_value
        era = self._read_era(response)
        version = StorePosition(era, _parse_revision(response.body) or 0).version
        if expected_version and era > expected.era and response.status < 300:
            return Err(OutcomeUnknown(key, "the store came back from an older copy"))
        if 200 <= response.status < 300:
            return Ok(version)
        if response.status in (404, 409):
            return Err(VersionConflict(key, version))
        if response.status in (429, 503):
            return Err(StoreUnavailable(f"status {response.status}"))
        return Err(OutcomeUnknown(key, f"status {response.status}"))

    async def probe(self, timeout_ms: int) -> Result[None, StoreUnavailable]:
        """Check that the store answers this VM.

        The call names no object. Calls with ``stale_ok`` are cheap and do not count for the read
        rate.
        """
        match await self._read(f"/objects/{VMS_KIND}/-?stale_ok=1", timeout_ms):
            case Err(error):
                return Err(StoreUnavailable(str(error)))
            case _:
                return Ok(None)

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Return the list of VMs that registered themselves."""
        list_result = await self._list_kind(VMS_KIND)
        if isinstance(list_result, Err):
            return list_result
        position, items = list_result.ok_value
        decoded = [record for record in map(decode_vm_record, items) if record is not None]
        latest = StorePosition(position.era, max((version for _, version in decoded), default=0))
        return Ok(VmList(latest.version, tuple(record for record, _ in decoded)))


def _parse_era(text: str) -> int | None:
    """Return the era in a header, None if it is no whole number or out of range."""
    if not text.isascii() or not text.isdecimal() or len(text) > len(str(MAX_ERA)):
        return None
    return era if (era := int(text)) <= MAX_ERA else None


def _classify_watch_failure(error: TransportError) -> StoreUnavailable | WatchInterrupted:
    """Return whether the store did not answer, or the connection ended while the watch waited."""
    if error.kind is FailureKind.CLOSED and error.request_sent and not error.response_started:
        return WatchInterrupted(str(error))
    return StoreUnavailable(str(error))


def _in_era(stored: StoredObject, era: int) -> StoredObject:
    return evolve(stored, version=StorePosition(era, stored.version).version)


def _decode_response(body: bytes) -> Result[dict[str, Any], StoreUnavailable]:
    match parse_json(body):
        case Ok(dict(value)):
            return Ok(value)
        case Err(reason):
            return Err(StoreUnavailable(f"malformed response: {reason}"[:200]))
    return Err(StoreUnavailable("the response is not a JSON object"))


def _parse_revision(body: bytes) -> int | None:
    """Return the revision in the response to a write, None if it is missing."""
    try:
        revision = parse_json(body).unwrap_or(None)["meta"]["revision"]
        return require_count(revision, maximum=MAX_REVISION)
    except DECODE_ERRORS:
        return None


def _last_name(items: ObjectItems, after: str) -> str:
    """Return the name after which the next page starts, from the last object that has one.

    Raises:
        ValueError: No object of the page has a name other than that of the previous page.
    """
    for item in reversed(items):
        meta = item.get("meta") if isinstance(item, dict) else None
        name = meta.get("name") if isinstance(meta, dict) else None
        if isinstance(name, str) and name != after:
            return name
    raise ValueError("a page without names cannot be continued")
