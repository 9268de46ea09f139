"""Utilization of a service's targets as seen by one VM."""

from wagtailbay.placement.selector import TargetSelector


def service_utilization(selector: TargetSelector, service: str, now_s: float) -> float:
    """Return the mean utilization of the usable targets of this VM's region, else of all."""
    usable = selector.registry.usable(service, now_s)
    local = [
        t for t in usable if selector.regions.get(t.entry.availability_zone) == selector.region
    ]
    targets = local or usable
    slots = sum(max(1, target.entry.slots) for target in targets)
    load = sum(selector.load_of(target).load(now_s) for target in targets)
    return load / slots if slots else 0.0
