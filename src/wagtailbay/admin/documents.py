"""Operations of the administration API on configuration documents."""

import re
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.admin.auditing import Auditor
from wagtailbay.admin.fleet import FleetReader
from wagtailbay.admin.models import (
    AdminError,
    ApiRequest,
    ApiResponse,
    ApiResult,
    invalid_field,
    invalid_input,
    not_found,
    store_unavailable,
)
from wagtailbay.admin.schema_support import schema_version_errors
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

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@frozen
class DocumentOperations:
    """Validates, stores, returns and deletes service documents and the fleet document."""

    store: ObjectStore
    auditor: Auditor
    fleet: FleetReader

    async def validate(self, request: ApiRequest) -> ApiResult:
        """Validate a document without storing it."""
        document = request.body["document"]
        name = document_name(document)
        if isinstance(name, Err):
            return Err(invalid_input((name.err_value,)))
        validated = await self._validate(name.ok_value, document)
        return validated.map(lambda _: ApiResponse(200, {"name": name.ok_value, "valid": True}))

    async def submit(self, request: ApiRequest) -> ApiResult:
        """Validate a document and store it if its current version is the expected one."""
        name, body = request.parameters["name"], request.body
        expected = body["expected_version"]
        written = await self._submit(name, body["document"], expected)
        versions = (expected, written.ok() if isinstance(written, Ok) else None)
        key = DOCUMENT_PREFIX + name[:64]
        self.auditor.record_action(
            request.operator, "document.submit", key, body["reason"], versions, written
        )
        return written.map(lambda version: ApiResponse(200, {"name": name, "version": version}))

    async def _submit(
        self, name: str, document: Any, expected_version: int
    ) -> Result[int, AdminError]:
        if not NAME_PATTERN.fullmatch(name):
            return Err(invalid_field("name", "must be 1 to 64 letters, digits, '.', '_' or '-'"))
        validated = await self._validate(name, document)
        if isinstance(validated, Err):
            return validated
        return await write_object(self.store, DOCUMENT_PREFIX + name, document, expected_version)

    async def _validate(self, name: str, document: Any) -> Result[None, AdminError]:
        parsed = parse_document(name, document)
        if isinstance(parsed, Err):
            return Err(invalid_input(parsed.err_value))
        listing = await self.store.list([DOCUMENT_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        documents = _parse_stored_documents(listing.ok_value.objects)
        match parsed.ok_value:
            case FleetDocument() as fleet:
                services = [m for m in documents.values() if isinstance(m, ServiceDocument)]
                errors = check_fleet_references(fleet, services)
                errors += await self._check_max_vms(fleet)
                errors += _check_quorum_change(documents.get(FLEET_DOCUMENT_NAME), fleet)
            case service:
                fleet = documents.get(FLEET_DOCUMENT_NAME)
                if not isinstance(fleet, FleetDocument):
                    message = "submit the fleet document first; services refer to it"
                    return Err(invalid_field("(fleet)", message))
                errors = check_references(service, fleet)
        errors += await self._check_schema_support(parsed.ok_value.schema_version)
        return Err(invalid_input(errors)) if errors else Ok(None)

    async def _check_schema_support(self, schema_version: int) -> tuple[DocumentError, ...]:
        view = await self.fleet.read()
        return schema_version_errors(view.ok_value.vms, schema_version) if view.is_ok() else ()

    async def _check_max_vms(self, fleet: FleetDocument) -> tuple[DocumentError, ...]:
        """Reject a max_vms below the number of listed VMs, as two quorums might not overlap."""
        listed = await self.store.vms()
        if isinstance(listed, Err) or len(listed.ok_value.vms) <= fleet.max_vms:
            return ()
        message = f"must be at least the {len(listed.ok_value.vms)} VMs that the platform lists"
        return (DocumentError("max_vms", message),)

    async def read(self, request: ApiRequest) -> ApiResult:
        """Return a document with its version."""
        name = request.parameters["name"]
        match await self._get_document(name):
            case Err(error):
                return Err(error)
            case Ok(stored):
                value = {"name": name, "version": stored.version, "document": stored.value}
                return Ok(ApiResponse(200, value))

    async def _get_document(self, name: str) -> Result[StoredObject, AdminError]:
        missing = not_found("name", f"there is no document {name[:64]!r}")
        if not NAME_PATTERN.fullmatch(name):
            return Err(missing)
        match await self.store.get(DOCUMENT_PREFIX + name):
            case Err(error):
                return Err(store_unavailable(error.message))
            case Ok(None):
                return Err(missing)
            case Ok(stored):
                return Ok(stored)

    async def list(self, request: ApiRequest) -> ApiResult:
        """Return the name and version of every document."""
        listing = await self.store.list([DOCUMENT_PREFIX])
        if isinstance(listing, Err):
            return Err(store_unavailable(listing.err_value.message))
        return Ok(ApiResponse(200, {"documents": document_versions(listing.ok_value.objects)}))

    async def delete(self, request: ApiRequest) -> ApiResult:
        """Delete a service document if its current version is the expected one."""
        name, query = request.parameters["name"], request.query
        expected = query.get("expected_version", "")
        if not re.fullmatch(r"[0-9]{1,18}", expected) or int(expected) < 1:
            message = f"must be an integer from 1, got {expected[:40]!r}"
            return Err(invalid_field("expected_version", message))
        deleted = await self._delete(name, int(expected))
        why, versions = query.get("reason", "")[:500], (int(expected), 0)
        key = DOCUMENT_PREFIX + name[:64]
        self.auditor.record_action(request.operator, "document.delete", key, why, versions, deleted)
        return deleted.map(lambda version: ApiResponse(200, {"name": name, "version": version}))

    async def _delete(self, name: str, expected_version: int) -> Result[int, AdminError]:
        if name == FLEET_DOCUMENT_NAME:
            return Err(invalid_field("name", "the fleet document cannot be deleted"))
        stored = await self._get_document(name)
        if isinstance(stored, Err):
            return stored
        return await write_object(self.store, DOCUMENT_PREFIX + name, None, expected_version)


def document_versions(objects: tuple[StoredObject, ...]) -> list[dict[str, Any]]:
    """Return the name and version of each stored document, sorted by name."""
    ordered = sorted(objects, key=lambda stored: stored.key)
    return [{"name": o.key.removeprefix(DOCUMENT_PREFIX), "version": o.version} for o in ordered]


def _parse_stored_documents(
    objects: tuple[StoredObject, ...],
) -> dict[str, FleetDocument | ServiceDocument]:
    """Return the stored documents by name, without those that this release cannot parse."""
    documents = {}
    for stored in objects:
        name = stored.key.removeprefix(DOCUMENT_PREFIX)
        parsed = parse_document(name, stored.value)
        if isinstance(parsed, Ok):
            documents[name] = parsed.ok_value
    return documents


def _check_quorum_change(
    current: ServiceDocument | FleetDocument | None, submitted: FleetDocument
) -> tuple[DocumentError, ...]:
    """Reject a change of more than one VM, as an old and a new quorum might not overlap."""
    if not isinstance(current, FleetDocument):
        return ()
    changed = set(current.quorum_vms) ^ set(submitted.quorum_vms)
    if len(changed) <= 1 or not current.quorum_vms:
        return ()
    message = f"may change by one name at a time, not by {', '.join(sorted(changed))}"
    return (DocumentError("quorum_vms", message),)
