"""Check what a JSON schema cannot express."""

from collections.abc import Iterable

from wagtailbay.config.faults import DocumentFault
from wagtailbay.config.models import FleetDocument, ServiceDocument


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
        *check_unique("routes", (route.name for route in document.routes)),
        *check_unique("targets", (target.target for target in document.targets)),
        *check_unique("workspaces", (limit.workspace for limit in document.workspaces)),
        *check_unique("regions", (region.region for region in document.regions)),
        *_check_version_plan(document),
        *_check_drains(document),
    )


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
    if plan.deadline_unix_s <= plan.start_unix_s:
        faults.append(DocumentFault("version_plan.deadline_unix_s", "must be after start_unix_s"))
    return tuple(faults)


def _check_drains(document: ServiceDocument) -> tuple[DocumentFault, ...]:
    return tuple(
        DocumentFault(f"drains[{index}].deadline_unix_s", "must not be before start_unix_s")
        for index, drain in enumerate(document.drains)
        if drain.deadline_unix_s < drain.start_unix_s
    )


def check_fleet(document: FleetDocument) -> tuple[DocumentFault, ...]:
    """Return the faults between the fields of the fleet document."""
    zones = document.availability_zones
    regions = {zone.region for zone in zones}
    faults = list(check_unique("availability_zones", (z.availability_zone for z in zones)))
    for index, link in enumerate(document.links):
        for name in ("from_region", "to_region"):
            if getattr(link, name) not in regions:
                path = f"links[{index}].{name}"
                faults.append(DocumentFault(path, "no availability zone lies in this region"))
    return tuple(faults)
