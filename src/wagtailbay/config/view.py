"""Build the view of all documents that the request path reads."""

from collections.abc import Mapping

from attrs import field, frozen
from result import Err, Ok

from wagtailbay.config.const import DOCUMENT_PREFIX
from wagtailbay.config.documents import parse_named
from wagtailbay.config.faults import DocumentFault
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.store import StoredObject


@frozen
class ConfigView:
    """Hold the accepted documents.

    Attributes:
        versions: The version in force of each document key.
        faults: Documents that this release cannot use; the previous one stays in force.
    """

    fleet: FleetDocument | None = None
    services: Mapping[str, ServiceDocument] = field(factory=dict)
    versions: Mapping[str, int] = field(factory=dict)
    faults: Mapping[str, tuple[DocumentFault, ...]] = field(factory=dict)


def build_view(previous: ConfigView, objects: Mapping[str, StoredObject]) -> ConfigView:
    """Build the view from replicated objects, keeping the previous model of unusable ones."""
    fleet, services = previous.fleet, dict(previous.services)
    versions, faults = dict(previous.versions), dict(previous.faults)
    for key, stored in objects.items():
        if not key.startswith(DOCUMENT_PREFIX) or stored.version <= versions.get(key, 0):
            continue
        if stored.value is None:
            services.pop(key.removeprefix(DOCUMENT_PREFIX), None)
            faults.pop(key, None)
            versions[key] = stored.version
            continue
        match parse_named(key.removeprefix(DOCUMENT_PREFIX), stored.value):
            case Err(found):
                faults[key] = found
                continue
            case Ok(FleetDocument() as document):
                fleet = document
            case Ok(document):
                services[key.removeprefix(DOCUMENT_PREFIX)] = document
        versions[key] = stored.version
        faults.pop(key, None)
    return ConfigView(fleet, services, versions, faults)
