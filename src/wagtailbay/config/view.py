"""Build the configuration view that the request path reads."""

from collections.abc import Mapping

from attrs import field, frozen
from result import Err, Ok

from wagtailbay.config.const import DOCUMENT_PREFIX
from wagtailbay.config.documents import parse_document
from wagtailbay.config.errors import DocumentError
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.store import StoredObject


@frozen
class ConfigView:
    """The valid documents that are in effect.

    Attributes:
        versions: Version in effect by document key.
        errors: Errors of invalid documents by document key; their previous version stays in effect.
    """

    fleet: FleetDocument | None = None
    services: Mapping[str, ServiceDocument] = field(factory=dict)
    versions: Mapping[str, int] = field(factory=dict)
    errors: Mapping[str, tuple[DocumentError, ...]] = field(factory=dict)


def build_view(previous: ConfigView, objects: Mapping[str, StoredObject]) -> ConfigView:
    """Build a view from replicated objects; keep the previous version of invalid documents."""
    fleet, services = previous.fleet, dict(previous.services)
    versions, errors = dict(previous.versions), dict(previous.errors)
    for key, stored in objects.items():
        if not key.startswith(DOCUMENT_PREFIX) or stored.version <= versions.get(key, 0):
            continue
        if stored.value is None:
            services.pop(key.removeprefix(DOCUMENT_PREFIX), None)
            errors.pop(key, None)
            versions[key] = stored.version
            continue
        match parse_document(key.removeprefix(DOCUMENT_PREFIX), stored.value):
            case Err(document_errors):
                errors[key] = document_errors
                continue
            case Ok(FleetDocument() as document):
                fleet = document
            case Ok(document):
                services[key.removeprefix(DOCUMENT_PREFIX)] = document
        versions[key] = stored.version
        errors.pop(key, None)
    return ConfigView(fleet, services, versions, errors)
