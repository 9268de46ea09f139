"""Check references between service documents and the fleet document."""

from collections.abc import Iterable

from wagtailbay.config.faults import DocumentFault
from wagtailbay.config.models import FleetDocument, ServiceDocument

Faults = tuple[DocumentFault, ...]


def check_references(service: ServiceDocument, fleet: FleetDocument) -> Faults:
    """Return the faults of a service document that only the fleet document shows."""
    zones = {zone.availability_zone for zone in fleet.availability_zones}
    regions = {zone.region for zone in fleet.availability_zones}
    return (
        *_check_targets(service, zones),
        *_check_regions(service, regions),
        *_check_capacity(service, fleet),
        *_check_drains(service, zones, regions),
    )


def _check_targets(service: ServiceDocument, zones: set[str]) -> Iterable[DocumentFault]:
    for index, target in enumerate(service.targets):
        if target.availability_zone not in zones:
            path = f"targets[{index}].availability_zone"
            yield _unknown(path, "availability zone", target.availability_zone)


def _check_regions(service: ServiceDocument, regions: set[str]) -> Iterable[DocumentFault]:
    for index, capacity in enumerate(service.regions):
        if capacity.region not in regions:
            yield _unknown(f"regions[{index}].region", "region", capacity.region)


def _check_capacity(service: ServiceDocument, fleet: FleetDocument) -> Iterable[DocumentFault]:
    limited = {capacity.region for capacity in service.regions}
    used = {fleet.region_of(target.availability_zone) for target in service.targets}
    for region in sorted(used - limited - {None}):
        yield DocumentFault("regions", f"region {region!r} has targets but no capacity_per_s")


def _check_drains(
    service: ServiceDocument, zones: set[str], regions: set[str]
) -> Iterable[DocumentFault]:
    known = {"availability_zone": zones, "region": regions}
    for index, drain in enumerate(service.drains):
        if drain.kind in known and drain.name not in known[drain.kind]:
            yield _unknown(f"drains[{index}].name", drain.kind.replace("_", " "), drain.name)


def _unknown(path: str, kind: str, name: str) -> DocumentFault:
    return DocumentFault(path, f"{kind} {name!r} does not exist in the fleet document")


def check_fleet_references(fleet: FleetDocument, services: Iterable[ServiceDocument]) -> Faults:
    """Return a fault for each reference of a service that a new fleet document would break."""
    return tuple(
        DocumentFault("availability_zones", f"service {service.service!r}: {fault}")
        for service in services
        for fault in check_references(service, fleet)
    )
