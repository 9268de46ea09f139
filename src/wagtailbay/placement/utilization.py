"""Utilization of a service's targets as seen by one VM."""

from wagtailbay.placement.load import mean_utilization
from wagtailbay.placement.selector import TargetSelector


def service_utilization(selector: TargetSelector, service: str, now_s: float) -> float:
    """Return the mean utilization of the usable targets of this VM's region, else of all."""
    usable = selector.registry.usable(service, now_s)
    local = [
        t for t in usable if selector.regions.get(t.entry.availability_zone) == selector.region
    ]
    targets = local or usable
    return mean_utilization(targets, selector.load_of, now_s) if targets else 0.0
