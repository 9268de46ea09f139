"""Operations of the administration API on API keys."""

import re
from collections.abc import Callable
from typing import Any

import trio
from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.access import hash_key, new_key
from wagtailbay.access.const import API_KEY_PREFIX
from wagtailbay.admin.auditing import Auditor
from wagtailbay.admin.const import MAX_WRITE_ATTEMPTS, WITHDRAWAL_INITIAL_POLL_S
from wagtailbay.admin.fleet import FleetReader, FleetView, VmReport
from wagtailbay.admin.models import (
    AdminError,
    ApiRequest,
    ApiResponse,
    ApiResult,
    invalid_field,
    not_found,
    store_unavailable,
)
from wagtailbay.admin.writes import write_object
from wagtailbay.config import ServiceDocument, parse_service
from wagtailbay.config.const import DOCUMENT_PREFIX, FLEET_DOCUMENT_KEY
from wagtailbay.store import ObjectStore, StoredObject

KEY_ID_PATTERN = re.compile(r"[0-9a-f]{64}")


@frozen
class KeyOperations:
    """Grants, lists and withdraws API keys.

    The id of a key is its SHA-256. The key itself is only in the response that grants it.

    Attributes:
        withdrawal_wait_ms: How long a withdrawal waits for a quorum of VMs to apply it.
    """

    store: ObjectStore
    auditor: Auditor
    fleet: FleetReader
    withdrawal_wait_ms: int
    clock: Callable[[], float]

    async def list(self, request: ApiRequest) -> ApiResult:
        """Return the id, workspace and state of every key."""
        listing = await self.store.list([API_KEY_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        keys = [key_json(o) for o in listing.ok_value.objects if isinstance(o.value, dict)]
        return Ok(
            ApiResponse(200, {"keys": sorted(keys, key=lambda k: (k["workspace"], k["key_id"]))})
        )

    async def grant(self, request: ApiRequest) -> ApiResult:
        """Create a key for a workspace that a service document limits."""
        workspace, reason = request.body["workspace"], request.body["reason"]
        key = new_key()
        key_id = hash_key(key)
        granted = await self._grant(workspace, key_id)
        versions = (0, granted.ok() if isinstance(granted, Ok) else None)
        subject = API_KEY_PREFIX + key_id
        self.auditor.record_action(
            request.operator, "key.grant", subject, reason, versions, granted
        )
        value = {"key": key, "key_id": key_id, "workspace": workspace}
        return granted.map(lambda version: ApiResponse(201, {**value, "version": version}))

    async def _grant(self, workspace: str, key_id: str) -> Result[int, AdminError]:
        listing = await self.store.list([DOCUMENT_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        if not any(_limits_workspace(o, workspace) for o in listing.ok_value.objects):
            message = f"no service document limits workspace {workspace!r}"
            return Err(invalid_field("workspace", message))
        value = {"workspace": workspace, "withdrawn": False}
        return await write_object(self.store, API_KEY_PREFIX + key_id, value, 0)

    async def withdraw(self, request: ApiRequest) -> ApiResult:
        """Mark a key as withdrawn and wait briefly for a quorum of VMs to apply the change."""
        key_id = request.parameters["key_id"]
        before, withdrawn = await self._withdraw(key_id)
        versions = (before, withdrawn.ok() if isinstance(withdrawn, Ok) else None)
        subject = API_KEY_PREFIX + (key_id if KEY_ID_PATTERN.fullmatch(key_id) else "(malformed)")
        reason = request.body["reason"]
        self.auditor.record_action(
            request.operator, "key.withdraw", subject, reason, versions, withdrawn
        )
        if isinstance(withdrawn, Err):
            return withdrawn
        return await self._wait_for_quorum(key_id, withdrawn.ok_value)

    async def _withdraw(self, key_id: str) -> tuple[int | None, Result[int, AdminError]]:
        """Mark a key as withdrawn and return its previous version and its new one.

        A version conflict is retried with the new version of the key.
        """
        result: Result[int, AdminError] = Err(not_found("key_id", "there is no such key"))
        before = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = await self._get_key(key_id)
            if isinstance(read, Err):
                return before, read
            stored = read.ok_value
            before = stored.version
            if stored.value.get("withdrawn"):
                return before, Ok(stored.version)
            value = {**stored.value, "withdrawn": True}
            result = await write_object(self.store, API_KEY_PREFIX + key_id, value, stored.version)
            if isinstance(result, Ok) or result.err_value.code != "version_conflict":
                break
        return before, result

    async def _get_key(self, key_id: str) -> Result[StoredObject, AdminError]:
        missing = Err(not_found("key_id", f"there is no key {key_id[:64]!r}"))
        if not KEY_ID_PATTERN.fullmatch(key_id):
            return missing
        match await self.store.get(API_KEY_PREFIX + key_id):
            case Err(error):
                return Err(store_unavailable(error.message))
            case Ok(StoredObject(value=dict()) as stored):
                return Ok(stored)
            case _:
                return missing

    async def get_withdrawal(self, request: ApiRequest) -> ApiResult:
        """Return whether a quorum of VMs has applied the withdrawal of a key."""
        read = await self._get_key(request.parameters["key_id"])
        if isinstance(read, Err):
            return read
        if not read.ok_value.value.get("withdrawn"):
            return Err(not_found("key_id", "the key is not withdrawn"))
        view = await self.fleet.read()
        key_id, version = request.parameters["key_id"], read.ok_value.version
        return view.map(
            lambda fleet_view: ApiResponse(200, withdrawal_json(key_id, version, fleet_view))
        )

    async def _wait_for_quorum(self, key_id: str, version: int) -> ApiResult:
        """Return the withdrawal once a quorum has applied it or withdrawal_wait_ms have passed."""
        deadline_s = self.clock() + self.withdrawal_wait_ms / 1000
        poll_s = WITHDRAWAL_INITIAL_POLL_S
        while True:
            view = await self.fleet.read()
            fleet_view = view.ok_value if isinstance(view, Ok) else FleetView(None, ())
            value = withdrawal_json(key_id, version, fleet_view)
            if value["state"] == "in_force" or self.clock() >= deadline_s:
                return Ok(ApiResponse(200, value))
            await trio.sleep(poll_s)
            poll_s *= 2


def key_json(stored: StoredObject) -> dict[str, Any]:
    """Return the JSON value of a stored key: id, workspace and state."""
    return {
        "key_id": stored.key.removeprefix(API_KEY_PREFIX),
        "workspace": str(stored.value.get("workspace", "")),
        "withdrawn": bool(stored.value.get("withdrawn", False)),
        "version": stored.version,
    }


def withdrawal_json(key_id: str, version: int, view: FleetView) -> dict[str, Any]:
    """Return the JSON value of a withdrawal: its state and the VMs that have not applied it."""
    missing = [report for report in view.vms if not report.has_applied(version)]
    confirmed = sum(r.has_applied(version) and view.is_voter(r.vm) for r in view.vms)
    in_force = view.quorum is not None and confirmed >= view.quorum
    return {
        "key_id": key_id,
        "version": version,
        "state": "in_force" if in_force else "pending",
        "confirmed": confirmed,
        "quorum": view.quorum,
        "lacking": [{"vm": r.vm, "reason": _missing_reason(r, version)} for r in missing],
    }


def _missing_reason(report: VmReport, version: int) -> str:
    if report.fault is not None:
        return report.fault
    if report.state == "joining":
        return "the VM is joining and does not count yet"
    if report.revision is None:
        return "the status names no revision"
    return f"has applied revision {report.revision}, the withdrawal is revision {version}"


def _limits_workspace(stored: StoredObject, workspace: str) -> bool:
    if stored.key == FLEET_DOCUMENT_KEY:
        return False
    match parse_service(stored.value):
        case Ok(ServiceDocument() as document):
            return document.limit_for(workspace) is not None
    return False
