"""Select the target of a request by affinity, load, location and health."""

from wagtailbay.placement.cold_start import ColdStartLimiter
from wagtailbay.placement.const import USUAL_PACE_PERCENT
from wagtailbay.placement.load import TargetLoad
from wagtailbay.placement.models import (
    LoadReport,
    Placement,
    PlacementFailure,
    PlacementFailureKind,
    PlacementQuery,
    PlacementReason,
    SelectionTurn,
    TargetOutcome,
    VersionFilter,
)
from wagtailbay.placement.occupancy import OccupancyTracker
from wagtailbay.placement.regional import RegionPlan
from wagtailbay.placement.selector import TargetSelector
from wagtailbay.placement.sizes import ExchangeSizes
from wagtailbay.placement.spillover import SpilloverLimiter

__all__ = [
    "USUAL_PACE_PERCENT",
    "ColdStartLimiter",
    "ExchangeSizes",
    "LoadReport",
    "OccupancyTracker",
    "Placement",
    "PlacementFailure",
    "PlacementFailureKind",
    "PlacementQuery",
    "PlacementReason",
    "RegionPlan",
    "SelectionTurn",
    "SpilloverLimiter",
    "TargetLoad",
    "TargetOutcome",
    "TargetSelector",
    "VersionFilter",
]
