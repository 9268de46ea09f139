"""Check document rules that a JSON schema cannot express."""

from collections.abc import Iterable
from ipaddress import ip_network

from wagtailbay.config.const import FLEET_DOCUMENT_NAME
from wagtailbay.config.errors import DocumentError
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.settings.checks import parse_address


def check_unique(path: str, names: Iterable[str]) -> tuple[DocumentError, ...]:
    """Return an error for each repeated name in a list."""
    seen: set[str] = set()
    errors = []
    for index, name in enumerate(names):
        if name in seen:
            errors.append(DocumentError(f"{path}[{index}]", f"{name!r} appears twice"))
        seen.add(name)
    return tuple(errors)


def check_service(document: ServiceDocument) -> tuple[DocumentError, ...]:
    """Return the errors of a service document that involve several fields or their formats."""
    return (
        *_check_name(document),
        *check_unique("routes", (route.name for route in document.routes)),
        *check_unique("routes", (route.path_prefix for route in document.routes)),
        *check_unique("targets", (target.target for target in document.targets)),
        *check_unique("workspaces", (limit.workspace for limit in document.workspaces)),
        *check_unique("regions", (region.region for region in document.regions)),
        *check_unique("drains", (f"{drain.kind} {drain.name}" for drain in document.drains)),
        *_check_addresses(document),
        *_check_version_plan(document),
        *_check_drains(document),
    )


def _check_name(document: ServiceDocument) -> tuple[DocumentError, ...]:
    if document.service != FLEET_DOCUMENT_NAME:
        return ()
    return (DocumentError("service", f"{FLEET_DOCUMENT_NAME!r} is the name of the fleet document"),)


def _check_addresses(document: ServiceDocument) -> tuple[DocumentError, ...]:
    errors = []
    for index, target in enumerate(document.targets):
        path = f"targets[{index}].address"
        try:
            parse_address(target.address)
        except ValueError as error:
            errors.append(DocumentError(path, str(error)))
            continue
        if target.address.rpartition(":")[2].lstrip("0") == "":
            errors.append(DocumentError(path, "port must be 1 to 65535, got 0"))
    repeated = check_unique("targets", (target.address for target in document.targets))
    return (*errors, *repeated)


def _check_version_plan(document: ServiceDocument) -> tuple[DocumentError, ...]:
    plan = document.version_plan
    if plan is None:
        return ()
    errors = []
    versions = {target.version for target in document.targets}
    for name in ("old_version", "new_version"):
        if getattr(plan, name) not in versions:
            error = DocumentError(f"version_plan.{name}", "no target has this version")
            errors.append(error)
    if plan.old_version == plan.new_version:
        errors.append(DocumentError("version_plan.new_version", "must differ from old_version"))
    if plan.deadline_unix_s <= plan.start_unix_s:
        errors.append(DocumentError("version_plan.deadline_unix_s", "must be after start_unix_s"))
    return tuple(errors)


def _check_drains(document: ServiceDocument) -> tuple[DocumentError, ...]:
    targets = {target.target for target in document.targets}
    errors = []
    for index, drain in enumerate(document.drains):
        if drain.deadline_unix_s < drain.start_unix_s:
            path = f"drains[{index}].deadline_unix_s"
            errors.append(DocumentError(path, "must not be before start_unix_s"))
        if drain.kind == "target" and drain.name not in targets:
            message = f"target {drain.name!r} does not exist in this document"
            errors.append(DocumentError(f"drains[{index}].name", message))
    return tuple(errors)


def _check_client_blocks(document: FleetDocument) -> tuple[DocumentError, ...]:
    known = {zone.availability_zone for zone in document.availability_zones}
    errors = list(check_unique("client_blocks", (item.block for item in document.client_blocks)))
    for index, item in enumerate(document.client_blocks):
        try:
            ip_network(item.block)
        except ValueError as error:
            errors.append(DocumentError(f"client_blocks[{index}].block", str(error)))
        if item.availability_zone not in known:
            path = f"client_blocks[{index}].availability_zone"
            errors.append(DocumentError(path, "is not among availability_zones"))
    return tuple(errors)


def check_fleet(document: FleetDocument) -> tuple[DocumentError, ...]:
    """Return the errors of the fleet document that involve several fields or their formats."""
    zones = document.availability_zones
    regions = {zone.region for zone in zones}
    errors = list(check_unique("availability_zones", (z.availability_zone for z in zones)))
    errors.extend(_check_client_blocks(document))
    errors.extend(check_unique("quorum_vms", document.quorum_vms))
    if len(document.quorum_vms) > document.max_vms:
        errors.append(DocumentError("quorum_vms", f"has more than max_vms {document.max_vms}"))
    pairs = (f"{link.from_region} to {link.to_region}" for link in document.links)
    errors.extend(check_unique("links", pairs))
    for index, link in enumerate(document.links):
        if link.from_region == link.to_region:
            errors.append(
                DocumentError(f"links[{index}].to_region", "must differ from from_region")
            )
        for name in ("from_region", "to_region"):
            if getattr(link, name) not in regions:
                path = f"links[{index}].{name}"
                errors.append(DocumentError(path, "no availability zone lies in this region"))
    return tuple(errors)
