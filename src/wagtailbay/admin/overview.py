"""Read-only operations on the state of the deployment: status, moves and audit trail."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import asdict, frozen
from result import Err, Ok

from wagtailbay.access.const import API_KEY_PREFIX
from wagtailbay.admin.const import DEFAULT_AUDIT_LIMIT, MOVE_PREFIX
from wagtailbay.admin.documents import document_versions
from wagtailbay.admin.fleet import FleetReader, FleetView, VmReport
from wagtailbay.admin.headroom import headroom_problems, region_headroom
from wagtailbay.admin.models import (
    ApiRequest,
    ApiResponse,
    ApiResult,
    invalid_field,
    store_unavailable,
)
from wagtailbay.audit import AuditReader, AuditWriter
from wagtailbay.audit.const import MAX_PAGE_RECORDS
from wagtailbay.audit.wire import encode_record
from wagtailbay.config.const import DOCUMENT_PREFIX
from wagtailbay.store import ObjectStore, StoredObject, StoreUnavailable


@frozen
class Overview:
    """Serves the status summary, the moves and the audit trail."""

    store: ObjectStore
    fleet: FleetReader
    writer: AuditWriter
    unix_clock: Callable[[], float]

    async def moves(self, request: ApiRequest) -> ApiResult:
        """Return the moves object of each service."""
        listing = await self.store.list([MOVE_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        return Ok(ApiResponse(200, {"moves": moves_json(listing.ok_value.objects)}))

    async def audit(self, request: ApiRequest) -> ApiResult:
        """Return a page of audit records, newest first."""
        limit = request.query.get("limit", str(DEFAULT_AUDIT_LIMIT))
        if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:9]) <= MAX_PAGE_RECORDS):
            message = f"must be 1 to {MAX_PAGE_RECORDS}, got {limit[:40]!r}"
            return Err(invalid_field("limit", message))
        before = request.query.get("before") or None
        page = await AuditReader(self.store).read(int(limit[:9]), before, self.unix_clock())
        match page:
            case Err(StoreUnavailable(message=message)):
                return Err(store_unavailable(message))
            case Err(message):
                return Err(invalid_field("before", message))
            case Ok(audit_page):
                records = [encode_record(record) for record in audit_page.records]
                return Ok(ApiResponse(200, {"records": records, "before": audit_page.before}))

    async def status(self, request: ApiRequest) -> ApiResult:
        """Return documents, key counts, moves, region headroom, VMs and known problems."""
        prefixes = (DOCUMENT_PREFIX, API_KEY_PREFIX, MOVE_PREFIX)
        listing = await self.store.list(prefixes)
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        view = await self.fleet.read()
        if isinstance(view, Err):
            return view
        objects = listing.ok_value.objects
        objects_by_prefix = {
            prefix: tuple(o for o in objects if o.key.startswith(prefix)) for prefix in prefixes
        }
        moves = moves_json(objects_by_prefix[MOVE_PREFIX])
        newest = max((stored.version for stored in objects), default=0)
        regions = region_headroom(view.ok_value.vms)
        problems = [
            *fleet_problems(view.ok_value, newest),
            *move_problems(moves),
            *headroom_problems(regions),
        ]
        if self.writer.lost:
            message = f"{self.writer.lost} records did not reach the store; see the log"
            problems.append({"subject": "audit", "message": message})
        value = {
            "time_unix_s": self.unix_clock(),
            "documents": document_versions(objects_by_prefix[DOCUMENT_PREFIX]),
            "keys": _count_keys(objects_by_prefix[API_KEY_PREFIX]),
            "moves": moves,
            "regions": [asdict(region) for region in regions],
            "fleet": view.ok_value.as_json(),
            "audit": {"queued": len(self.writer.queue), "lost": self.writer.lost},
            "problems": problems,
        }
        return Ok(ApiResponse(200, value))


def moves_json(objects: tuple[StoredObject, ...]) -> list[dict[str, Any]]:
    """Return the move of each service as stored by the lease holder, sorted by service."""
    ordered = sorted(objects, key=lambda stored: stored.key)
    return [
        {"service": o.key.removeprefix(MOVE_PREFIX), "version": o.version, "move": o.value}
        for o in ordered
    ]


def _count_keys(objects: tuple[StoredObject, ...]) -> dict[str, int]:
    records = [stored.value for stored in objects if isinstance(stored.value, dict)]
    withdrawn = sum(1 for record in records if record.get("withdrawn"))
    return {"granted": len(records) - withdrawn, "withdrawn": withdrawn}


def fleet_problems(view: FleetView, newest_revision: int) -> list[dict[str, str]]:
    """Return problems of the fleet: no usable document, no quorum, or a VM that lags or fails."""
    problems = []
    answering = sum(1 for report in view.vms if report.fault is None)
    if view.quorum is None:
        problems.append({"subject": "fleet", "message": "there is no usable fleet document"})
    elif answering < view.quorum:
        message = f"{answering} VMs answer, a quorum is {view.quorum} of max_vms {view.max_vms}"
        problems.append({"subject": "fleet", "message": message})
    for report in view.vms:
        problems.extend(
            {"subject": f"vm {report.vm}", "message": message}
            for message in _vm_problems(report, newest_revision)
        )
    return problems


def _vm_problems(report: VmReport, newest_revision: int) -> list[str]:
    if report.fault is not None:
        return [f"gives no status: {report.fault}"]
    messages = []
    if report.revision is not None and report.revision < newest_revision:
        messages.append(f"has applied revision {report.revision} of {newest_revision}")
    status: Mapping[str, Any] = report.status or {}
    if status.get("store_reachable") is False:
        messages.append("does not reach the store")
    config = status.get("config")
    errors_by_key = config.get("faults") if isinstance(config, dict) else None
    if isinstance(errors_by_key, dict):
        messages.extend(
            f"cannot use {key}: {errors}" for key, errors in sorted(errors_by_key.items())
        )
    return messages


def move_problems(moves: list[dict[str, Any]]) -> list[dict[str, str]]:
    """Return a problem for each move that was rolled back."""
    problems = []
    for item in moves:
        move = item["move"]
        if isinstance(move, dict) and move.get("phase") == "rolled_back":
            message = f"rolled back: {move.get('reason', 'no reason recorded')}"
            problems.append({"subject": f"move {item['service']}", "message": message})
    return problems
