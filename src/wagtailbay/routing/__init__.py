"""Find the route and the workspace of a request in the active routing table."""

from wagtailbay.routing.active import ActiveRouting
from wagtailbay.routing.const import ROUTING_KEY, ROUTING_PREFIX
from wagtailbay.routing.models import (
    CallerLimits,
    RoutePart,
    RouteRule,
    RoutingTable,
    ServiceRule,
    Workspace,
)
from wagtailbay.routing.split import ServiceSplitter

__all__ = [
    "ROUTING_KEY",
    "ROUTING_PREFIX",
    "ActiveRouting",
    "CallerLimits",
    "RoutePart",
    "RouteRule",
    "RoutingTable",
    "ServiceRule",
    "ServiceSplitter",
    "Workspace",
]
