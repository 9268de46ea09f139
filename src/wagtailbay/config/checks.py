"""Check what a JSON schema cannot express."""

from collections.abc import Iterable
from ipaddress import ip_network

from wagtailbay.config.const import FLEET_NAME
from wagtailbay.config.faults import DocumentFault
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.settings.checks import parse_address


def check_unique(path: str, names: Iterable[str]) -> tuple[DocumentFault, ...]:
    """Return a fault for each name that stands twice in a list."""
    seen: set[str] = set()
    faults = []
    for index, name in enumerate(names):
        if name in seen:
            faults.append(DocumentFault(f"{path}[{index}]", f"{name!r} appears twice"))
        seen.add(name)
    return tuple(faults)


def check_service(document: ServiceDocument) -> tuple[DocumentFault, ...]:
    """Return the faults between the fields of a service document."""
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


def _check_name(document: ServiceDocument) -> tuple[DocumentFault, ...]:
    if document.service != FLEET_NAME:
        return ()
    return (DocumentFault("service", f"{FLEET_NAME!r} is the name of the fleet document"),)


def _check_addresses(document: ServiceDocument) -> tuple[DocumentFault, ...]:
    faults = []
    for index, target in enumerate(document.targets):
        path = f"targets[{index}].address"
        try:
            parse_address(target.address)
        except ValueError as error:
            faults.append(DocumentFault(path, str(error)))
            continue
        if target.address.rpartition(":")[2].lstrip("0") == "":
            faults.append(DocumentFault(path, "port must be 1 to 65535, got 0"))
    repeated = check_unique("targets", (target.address for target in document.targets))
    return (*faults, *repeated)


def _check_version_plan(document: ServiceDocument) -> tuple[DocumentFault, ...]:
    plan = document.version_plan
    if plan is None:
        return ()
    faults = []
    versions = {target.version for target in document.targets}
    for name in ("old_version", "new_version"):
        if getattr(plan, name) not in versions:
            fault = DocumentFault(f"version_plan.{name}", "no target has this version")
            faults.append(fault)
    if plan.old_version == plan.new_version:
        faults.append(DocumentFault("version_plan.new_version", "must differ from old_version"))
    if plan.deadline_unix_s <= plan.start_unix_s:
        faults.append(DocumentFault("version_plan.deadline_unix_s", "must be after start_unix_s"))
    return tuple(faults)


def _check_drains(document: ServiceDocument) -> tuple[DocumentFault, ...]:
    targets = {target.target for target in document.targets}
    faults = []
    for index, drain in enumerate(document.drains):
        if drain.deadline_unix_s < drain.start_unix_s:
            path = f"drains[{index}].deadline_unix_s"
            faults.append(DocumentFault(path, "must not be before start_unix_s"))
        if drain.kind == "target" and drain.name not in targets:
            message = f"target {drain.name!r} does not exist in this document"
            faults.append(DocumentFault(f"drains[{index}].name", message))
    return tuple(faults)


def _check_client_blocks(document: FleetDocument) -> tuple[DocumentFault, ...]:
    known = {zone.availability_zone for zone in document.availability_zones}
    faults = list(check_unique("client_blocks", (item.block for item in document.client_blocks)))
    for index, item in enumerate(document.client_blocks):
        try:
            ip_network(item.block)
        except ValueError as error:
            faults.append(DocumentFault(f"client_blocks[{index}].block", str(error)))
        if item.availability_zone not in known:
            path = f"client_blocks[{index}].availability_zone"
            faults.append(DocumentFault(path, "is not among availability_zones"))
    return tuple(faults)


def check_fleet(document: FleetDocument) -> tuple[DocumentFault, ...]:
    """Return the faults between the fields of the fleet document."""
    zones = document.availability_zones
    regions = {zone.region for zone in zones}
    faults = list(check_unique("availability_zones", (z.availability_zone for z in zones)))
    faults.extend(_check_client_blocks(document))
    faults.extend(check_unique("quorum_vms", document.quorum_vms))
    if len(document.quorum_vms) > document.max_vms:
        faults.append(DocumentFault("quorum_vms", f"has more than max_vms {document.max_vms}"))
    pairs = (f"{link.from_region} to {link.to_region}" for link in document.links)
    faults.extend(check_unique("links", pairs))
    for index, link in enumerate(document.links):
        if link.from_region == link.to_region:
            faults.append(
                DocumentFault(f"links[{index}].to_region", "must differ from from_region")
            )
        for name in ("from_region", "to_region"):
            if getattr(link, name) not in regions:
                path = f"links[{index}].{name}"
                faults.append(DocumentFault(path, "no availability zone lies in this region"))
    return tuple(faults)
