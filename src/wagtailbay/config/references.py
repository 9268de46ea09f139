"""Validate references from service documents to the fleet document."""

from collections.abc import Iterable

from wagtailbay.config.errors import DocumentError
from wagtailbay.config.models import FleetDocument, ServiceDocument

DocumentErrors = tuple[DocumentError, ...]


def check_references(service: ServiceDocument, fleet: FleetDocument) -> DocumentErrors:
    """Return the errors of a service document in its references to the fleet document."""
    zones = {zone.availability_zone for zone in fleet.availability_zones}
    regions = {zone.region for zone in fleet.availability_zones}
    return (
        *_check_targets(service, zones),
        *_check_regions(service, regions),
        *_check_capacity(service, fleet),
        *_check_drains(service, zones, regions),
    )


def _check_targets(service: ServiceDocument, zones: set[str]) -> Iterable[DocumentError]:
    for index, target in enumerate(service.targets):
        if target.availability_zone not in zones:
            path = f"targets[{index}].availability_zone"
            yield _unknown_reference(path, "availability zone", target.availability_zone)


def _check_regions(service: ServiceDocument, regions: set[str]) -> Iterable[DocumentError]:
    for index, capacity in enumerate(service.regions):
        if capacity.region not in regions:
            yield _unknown_reference(f"regions[{index}].region", "region", capacity.region)


def _check_capacity(service: ServiceDocument, fleet: FleetDocument) -> Iterable[DocumentError]:
    limited = {capacity.region for capacity in service.regions}
    used = {fleet.region_of(target.availability_zone) for target in service.targets}
    for region in sorted(used - limited - {None}):
        yield DocumentError("regions", f"region {region!r} has targets but no capacity_per_s")


def _check_drains(
    service: ServiceDocument, zones: set[str], regions: set[str]
) -> Iterable[DocumentError]:
    known = {"availability_zone": zones, "region": regions}
    for index, drain in enumerate(service.drains):
        if drain.kind in known and drain.name not in known[drain.kind]:
            yield _unknown_reference(
                f"drains[{index}].name", drain.kind.replace("_", " "), drain.name
            )


def _unknown_reference(path: str, kind: str, name: str) -> DocumentError:
    return DocumentError(path, f"{kind} {name!r} does not exist in the fleet document")


def check_fleet_references(
    fleet: FleetDocument, services: Iterable[ServiceDocument]
) -> DocumentErrors:
    """Return an error for each service reference that a new fleet document would break."""
    return tuple(
        DocumentError("availability_zones", f"service {service.service!r}: {error}")
        for service in services
        for error in check_references(service, fleet)
    )
