"""Select the entry VMs for clients that pick among them uniformly at random."""

from wagtailbay.config import FleetDocument
from wagtailbay.locate.const import MAX_NEAR_VMS, MIN_NEAR_VMS
from wagtailbay.locate.groups import RankedVm, group_vms, live_vms
from wagtailbay.membership import Roster


def near_vms(
    availability_zone: str, roster: Roster, fleet: FleetDocument, now_s: float
) -> tuple[RankedVm, ...]:
    """Return the VMs of the client's zone, and more distant ones only if these are too few.

    These clients ignore the order of the answer, so a distant VM would get as many requests as a
    near one.
    """
    groups = group_vms(availability_zone, live_vms(roster, now_s), fleet)
    selected = groups.same_zone.vms
    if len(selected) < MIN_NEAR_VMS:
        selected += groups.same_region.vms
    return (selected or groups.others.vms)[:MAX_NEAR_VMS]
