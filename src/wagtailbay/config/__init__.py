"""Define and validate the configuration documents that control traffic steering."""

from wagtailbay.config.documents import (
    DocumentError,
    document_name,
    parse_document,
    parse_fleet,
    parse_service,
)
from wagtailbay.config.files import decode_json, decode_toml, read_document
from wagtailbay.config.models import (
    AvailabilityZone,
    ClientBlock,
    Drain,
    FleetDocument,
    Link,
    RegionCapacity,
    Route,
    ServiceDocument,
    Target,
    VersionPlan,
    WorkspaceLimit,
)
from wagtailbay.config.references import check_fleet_references, check_references
from wagtailbay.config.view import ConfigView, build_view

__all__ = [
    "AvailabilityZone",
    "ClientBlock",
    "ConfigView",
    "DocumentError",
    "Drain",
    "FleetDocument",
    "Link",
    "RegionCapacity",
    "Route",
    "ServiceDocument",
    "Target",
    "VersionPlan",
    "WorkspaceLimit",
    "build_view",
    "check_fleet_references",
    "check_references",
    "decode_json",
    "decode_toml",
    "document_name",
    "parse_fleet",
    "parse_document",
    "parse_service",
    "read_document",
]
