"""Choose the target of a request by affinity, load, place and health."""

from wagtailbay.placement.chooser import Placer
from wagtailbay.placement.cold import ColdBudget
from wagtailbay.placement.load import TargetLoad
from wagtailbay.placement.models import (
    LoadReport,
    Placement,
    PlacementQuery,
    PlacementReason,
    Shortage,
    TargetSign,
    VersionFilter,
)
from wagtailbay.placement.occupancy import OccupancyKeeper
from wagtailbay.placement.sizes import ExchangeSizes
from wagtailbay.placement.spill import SpillLimiter

__all__ = [
    "ColdBudget",
    "ExchangeSizes",
    "LoadReport",
    "OccupancyKeeper",
    "Placement",
    "PlacementQuery",
    "PlacementReason",
    "Placer",
    "Shortage",
    "SpillLimiter",
    "TargetLoad",
    "TargetSign",
    "VersionFilter",
]
