"""Call the platform's store over HTTP."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.platform.const import (
    CALL_TIMEOUT_MS,
    MAX_PAGES,
    VMS_KIND,
    WATCH_MARGIN_MS,
)
from wagtailbay.platform.decode import PHASE_NAMES
from wagtailbay.platform.objects import changed_objects, kind_of, split_key, stored_object
from wagtailbay.rollout import RolloutOrder, RolloutPhase
from wagtailbay.store import (
    DECODE_ERRORS,
    HistoryLost,
    Listing,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    VmList,
    VmRecord,
    classify_write_failure,
)
from wagtailbay.transport import ConnectionPool, Request, Response, TransportError

Items = list[dict[str, Any]]
Objects = list[StoredObject]
JSON_HEADERS = (("Content-Type", "application/json"),)


@define
class PlatformStore:
    """Read and write the product's objects in the platform's store."""

    address: str
    pool: ConnectionPool = field(factory=ConnectionPool)

    async def _call(
        self, method: str, path: str, body: Any = None, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Result[Response, TransportError]:
        payload = b"" if body is None else json.dumps(body).encode()
        headers = () if body is None else JSON_HEADERS
        return await self.pool.fetch(
            self.address, Request(method, path, headers, payload), timeout_ms
        )

    async def _read(
        self, path: str, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Result[dict[str, Any] | None, StoreUnavailable | HistoryLost]:
        """Read a JSON object; None if there is nothing at the path."""
        match await self._call("GET", path, timeout_ms=timeout_ms):
            case Err(error):
                return Err(StoreUnavailable(str(error)))
            case Ok(response) if response.status == 404:
                return Ok(None)
            case Ok(response) if response.status == 410:
                return Err(HistoryLost())
            case Ok(response) if response.status != 200:
                return Err(StoreUnavailable(f"status {response.status}"))
            case Ok(response):
                return _decoded(response.body)

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object; None if it does not exist."""
        kind, name = split_key(key)
        match await self._read(f"/objects/{kind}/{quote(name, safe='')}"):
            case Err(HistoryLost()):
                return Err(StoreUnavailable("status 410"))
            case Err(error):
                return Err(error)
            case Ok(None):
                return Ok(None)
            case Ok(item):
                return Ok(stored_object(key.partition("/")[0] + "/", item))

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read all objects under the prefixes, one kind after the other."""
        objects: Objects = []
        revision: int | None = None
        for prefix in prefixes:
            listed = await self._list_kind(kind_of(prefix))
            if isinstance(listed, Err):
                return listed
            at, items = listed.ok_value
            revision = at if revision is None else min(revision, at)
            found = (stored_object(prefix, item) for item in items)
            objects += [stored for stored in found if stored is not None]
        return Ok(Listing(revision or 0, tuple(objects)))

    async def _list_kind(self, kind: str) -> Result[tuple[int, Items], StoreUnavailable]:
        """Read all pages; the revision is that of the first, since later ones may miss changes."""
        items: Items = []
        first_at: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            read = await self._read(
                f"/objects/{kind}" + (f"?after={quote(after)}" if after else "")
            )
            if isinstance(read, Err):
                return Err(StoreUnavailable(str(read.err_value)))
            page = read.ok_value or {"items": [], "at": 0}
            try:
                first_at = int(page["at"]) if first_at is None else first_at
                items += page["items"]
                if not page.get("has_more"):
                    return Ok((first_at, items))
                after = page["items"][-1]["meta"]["name"]
            except (*DECODE_ERRORS, IndexError) as error:
                return Err(StoreUnavailable(f"malformed listing: {error}"))
        return Err(StoreUnavailable(f"a listing of {kind} has no end"))

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable | HistoryLost]:
        """Wait for changes under one prefix; the listing is empty when the time runs out."""
        (prefix,) = prefixes
        path = f"/objects/{kind_of(prefix)}?watch={since_revision}&wait_ms={timeout_ms}"
        read = await self._read(path, timeout_ms + WATCH_MARGIN_MS)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return Ok(Listing(since_revision, ()))
        try:
            at = int(read.ok_value["at"])
            objects = changed_objects(prefix, read.ok_value["events"], at)
        except DECODE_ERRORS as error:
            return Err(StoreUnavailable(f"malformed watch: {error}"))
        return Ok(Listing(at, tuple(objects)))

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write one of the product's own objects and return its new version."""
        kind, name = split_key(key)
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        body = {"meta": meta, "spec": value}
        path = f"/objects/{kind}/{quote(name, safe='')}"
        if expected_version == 0:
            return await self._write(key, "POST", path, body)
        if expected_version is not None:
            meta["revision"] = expected_version
        return await self._write(key, "PUT", path, body)

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object."""
        kind, name = split_key(key)
        query = "" if expected_version is None else f"?revision={expected_version}"
        return await self._write(
            key, "DELETE", f"/objects/{kind}/{quote(name, safe='')}{query}", None
        )

    async def write_phase(
        self, order: RolloutOrder, version: int, phase: RolloutPhase
    ) -> Result[int, StoreError]:
        """Write the state of a rollout under the condition that the order is unchanged."""
        name = order.service
        status = {"state": PHASE_NAMES[phase], "target_version": order.target_version}
        body = {"meta": {"name": name, "revision": version}, "status": status}
        path = f"/objects/rollouts/{quote(name, safe='')}/status"
        return await self._write(f"rollouts/{name}", "PUT", path, body)

    async def _write(self, key: str, method: str, path: str, body: Any) -> Result[int, StoreError]:
        match await self._call(method, path, body):
            case Ok(response) if 200 <= response.status < 300:
                return Ok(_revision(response.body) or 0)
            case Ok(response) if response.status in (404, 409):
                return Err(VersionConflict(key, _revision(response.body) or 0))
            case Ok(response) if response.status in (429, 503):
                return Err(StoreUnavailable(f"status {response.status}"))
            case Ok(response):
                return Err(OutcomeUnknown(key, f"status {response.status}"))
            case Err(error):
                return Err(classify_write_failure(key, error))

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Read the VMs that registered themselves."""
        listed = await self._list_kind(VMS_KIND)
        if isinstance(listed, Err):
            return listed
        _, items = listed.ok_value
        records, revision = [], 0
        for item in items:
            stored = stored_object("vms/", item)
            if stored is not None and isinstance(stored.value, dict):
                value = stored.value
                revision = max(revision, stored.version)
                name = stored.key.partition("/")[2]
                records.append(
                    VmRecord(name, value.get("address", ""), value.get("zone", ""), "live")
                )
        return Ok(VmList(revision, tuple(records)))


def _decoded(body: bytes) -> Result[dict[str, Any], StoreUnavailable]:
    try:
        value = json.loads(body)
    except DECODE_ERRORS as error:
        return Err(StoreUnavailable(f"malformed answer: {error}"))
    return (
        Ok(value) if isinstance(value, dict) else Err(StoreUnavailable("the answer is no object"))
    )


def _revision(body: bytes) -> int | None:
    """Return the revision that an answer to a write names, None if it names none."""
    try:
        return int(json.loads(body)["meta"]["revision"])
    except DECODE_ERRORS:
        return None
