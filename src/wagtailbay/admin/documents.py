"""Accept, show and delete documents."""

import re
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.admin.auditing import Auditor
from wagtailbay.admin.fleet import FleetReader
from wagtailbay.admin.models import (
    AdminError,
    Answer,
    Call,
    Outcome,
    invalid,
    invalid_field,
    store_unavailable,
    unknown_object,
)
from wagtailbay.admin.releases import schema_version_faults
from wagtailbay.admin.writes import write_object
from wagtailbay.config import (
    DocumentError,
    FleetDocument,
    ServiceDocument,
    check_fleet_references,
    check_references,
    document_name,
    parse_document,
)
from wagtailbay.config.const import DOCUMENT_PREFIX, FLEET_DOCUMENT_NAME
from wagtailbay.store import ObjectStore, StoredObject

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@frozen
class DocumentDesk:
    """Serve the document requests."""

    store: ObjectStore
    auditor: Auditor
    fleet: FleetReader

    async def validate(self, call: Call) -> Outcome:
        """Check a document without storing it."""
        document = call.body["document"]
        name = document_name(document)
        if isinstance(name, Err):
            return Err(invalid((name.err_value,)))
        checked = await self._check(name.ok_value, document)
        return checked.map(lambda _: Answer(200, {"name": name.ok_value, "valid": True}))

    async def submit(self, call: Call) -> Outcome:
        """Validate a document and store it if the expected version is the current one."""
        name, body = call.parameters["name"], call.body
        expected = body["expected_version"]
        written = await self._submit(name, body["document"], expected)
        versions = (expected, written.ok() if isinstance(written, Ok) else None)
        key = DOCUMENT_PREFIX + name[:64]
        self.auditor.note(call.operator, "document.submit", key, body["reason"], versions, written)
        return written.map(lambda version: Answer(200, {"name": name, "version": version}))

    async def _submit(
        self, name: str, document: Any, expected_version: int
    ) -> Result[int, AdminError]:
        if not NAME.fullmatch(name):
            return Err(invalid_field("name", "must be 1 to 64 letters, digits, '.', '_' or '-'"))
        checked = await self._check(name, document)
        if isinstance(checked, Err):
            return checked
        return await write_object(self.store, DOCUMENT_PREFIX + name, document, expected_version)

    async def _check(self, name: str, document: Any) -> Result[None, AdminError]:
        parsed = parse_document(name, document)
        if isinstance(parsed, Err):
            return Err(invalid(parsed.err_value))
        listing = await self.store.list([DOCUMENT_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        models = _models(listing.ok_value.objects)
        match parsed.ok_value:
            case FleetDocument() as fleet:
                services = [m for m in models.values() if isinstance(m, ServiceDocument)]
                faults = check_fleet_references(fleet, services)
                faults += await self._check_max_vms(fleet)
                faults += _check_quorum_change(models.get(FLEET_DOCUMENT_NAME), fleet)
            case service:
                fleet = models.get(FLEET_DOCUMENT_NAME)
                if not isinstance(fleet, FleetDocument):
                    message = "submit the fleet document first; services refer to it"
                    return Err(invalid_field("(fleet)", message))
                faults = check_references(service, fleet)
        faults += await self._check_releases(parsed.ok_value.schema_version)
        return Err(invalid(faults)) if faults else Ok(None)

    async def _check_releases(self, schema_version: int) -> tuple[DocumentError, ...]:
        view = await self.fleet.read()
        return schema_version_faults(view.ok_value.vms, schema_version) if view.is_ok() else ()

    async def _check_max_vms(self, fleet: FleetDocument) -> tuple[DocumentError, ...]:
        """Refuse a max_vms below the listed VMs, since two quorums might then not meet."""
        listed = await self.store.vms()
        if isinstance(listed, Err) or len(listed.ok_value.vms) <= fleet.max_vms:
            return ()
        message = f"must be at least the {len(listed.ok_value.vms)} VMs that the platform lists"
        return (DocumentError("max_vms", message),)

    async def read(self, call: Call) -> Outcome:
        """Return one document with its version."""
        name = call.parameters["name"]
        match await self._stored(name):
            case Err(error):
                return Err(error)
            case Ok(stored):
                value = {"name": name, "version": stored.version, "document": stored.value}
                return Ok(Answer(200, value))

    async def _stored(self, name: str) -> Result[StoredObject, AdminError]:
        missing = unknown_object("name", f"there is no document {name[:64]!r}")
        if not NAME.fullmatch(name):
            return Err(missing)
        match await self.store.get(DOCUMENT_PREFIX + name):
            case Err(error):
                return Err(store_unavailable(error.message))
            case Ok(None):
                return Err(missing)
            case Ok(stored):
                return Ok(stored)

    async def list(self, call: Call) -> Outcome:
        """Return name and version of every document."""
        listing = await self.store.list([DOCUMENT_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        return Ok(Answer(200, {"documents": document_versions(listing.ok_value.objects)}))

    async def delete(self, call: Call) -> Outcome:
        """Delete a service's document if the expected version is the current one."""
        name, query = call.parameters["name"], call.query
        expected = query.get("expected_version", "")
        if not re.fullmatch(r"[0-9]{1,18}", expected) or int(expected) < 1:
            message = f"must be an integer from 1, got {expected[:40]!r}"
            return Err(invalid_field("expected_version", message))
        deleted = await self._delete(name, int(expected))
        why, versions = query.get("reason", "")[:500], (int(expected), 0)
        key = DOCUMENT_PREFIX + name[:64]
        self.auditor.note(call.operator, "document.delete", key, why, versions, deleted)
        return deleted.map(lambda version: Answer(200, {"name": name, "version": version}))

    async def _delete(self, name: str, expected_version: int) -> Result[int, AdminError]:
        if name == FLEET_DOCUMENT_NAME:
            return Err(invalid_field("name", "the fleet document cannot be deleted"))
        stored = await self._stored(name)
        if isinstance(stored, Err):
            return stored
        return await write_object(self.store, DOCUMENT_PREFIX + name, None, expected_version)


def document_versions(objects: tuple[StoredObject, ...]) -> list[dict[str, Any]]:
    """Return name and version of each stored document, ordered by name."""
    found = sorted(objects, key=lambda stored: stored.key)
    return [{"name": o.key.removeprefix(DOCUMENT_PREFIX), "version": o.version} for o in found]


def _models(objects: tuple[StoredObject, ...]) -> dict[str, FleetDocument | ServiceDocument]:
    """Return the stored documents that this release can use."""
    models = {}
    for stored in objects:
        name = stored.key.removeprefix(DOCUMENT_PREFIX)
        parsed = parse_document(name, stored.value)
        if isinstance(parsed, Ok):
            models[name] = parsed.ok_value
    return models


def _check_quorum_change(
    before: ServiceDocument | FleetDocument | None, after: FleetDocument
) -> tuple[DocumentError, ...]:
    """Refuse a change of more than one name, since an old and a new quorum might not meet."""
    if not isinstance(before, FleetDocument):
        return ()
    changed = set(before.quorum_vms) ^ set(after.quorum_vms)
    if len(changed) <= 1 or not before.quorum_vms:
        return ()
    message = f"may change by one name at a time, not by {', '.join(sorted(changed))}"
    return (DocumentError("quorum_vms", message),)
