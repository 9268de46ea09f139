"""Select the VMs that carry callers and control duties in a fleet of unequal VMs."""

from collections.abc import Mapping

from wagtailbay.capacity.const import HIGH_CAPACITY_FRACTION
from wagtailbay.capacity.models import VmCapacity


def high_capacity_vms(capacities: Mapping[str, VmCapacity]) -> frozenset[str]:
    """Return the VMs whose processor and link are not far below the best of the fleet.

    All VMs with the same view of the fleet select the same ones. If no VM states its capacity, or
    none has both a fast processor and a fast link, all VMs are returned.
    """
    stated = {vm: capacity for vm, capacity in capacities.items() if capacity.is_stated}
    if not stated:
        return frozenset(capacities)
    min_cores = HIGH_CAPACITY_FRACTION * max(c.cpu_cores for c in stated.values())
    min_mbps = HIGH_CAPACITY_FRACTION * max(c.link_mbps for c in stated.values())
    selected = frozenset(
        vm
        for vm, capacity in stated.items()
        if capacity.cpu_cores >= min_cores and capacity.link_mbps >= min_mbps
    )
    return selected or frozenset(capacities)
