"""Define, validate and hold the documents that steer traffic."""

from wagtailbay.config.documents import DocumentFault, parse_fleet, parse_service
from wagtailbay.config.models import (
    AvailabilityZone,
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
from wagtailbay.config.view import ConfigView, build_view

__all__ = [
    "AvailabilityZone",
    "ConfigView",
    "DocumentFault",
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
    "parse_fleet",
    "parse_service",
]
