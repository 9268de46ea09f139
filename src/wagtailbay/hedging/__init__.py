"""Decide when a request that takes unusually long gets a second attempt."""

from wagtailbay.hedging.latency import LatencyEstimate, RouteLatencies
from wagtailbay.hedging.models import HedgeConditions, HedgeDenial, HedgeOutcome, HedgeSettings
from wagtailbay.hedging.planner import HedgePlanner, TokenBudget

__all__ = [
    "HedgeConditions",
    "HedgeDenial",
    "HedgeOutcome",
    "HedgePlanner",
    "HedgeSettings",
    "LatencyEstimate",
    "RouteLatencies",
    "TokenBudget",
]
