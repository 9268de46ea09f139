"""Select the entry VMs for clients that pick among them uniformly at random."""

from operator import attrgetter

from wagtailbay.config import FleetDocument
from wagtailbay.locate.const import MAX_NEAR_VMS, MIN_NEAR_VMS
from wagtailbay.locate.groups import RankedVm, group_vms, live_vms
from wagtailbay.membership import Roster, live_members
from wagtailbay.membership.selection import high_capacity_members


def near_vms(
    availability_zone: str, roster: Roster, fleet: FleetDocument, now_s: float
) -> tuple[RankedVm, ...]:
    """Return the VMs of the client's zone, and more distant ones only if these are too few.

    These clients ignore the order of the answer, so a distant VM would get as many requests as a
    near one. In a fleet of unequal VMs, the weak ones are named only where no others are left.
    """
    selected = _near_high_capacity_vms(availability_zone, roster, fleet, now_s)
    if selected:
        return selected[:MAX_NEAR_VMS]
    groups = group_vms(availability_zone, live_vms(roster, now_s), fleet)
    selected = groups.same_zone.vms
    if len(selected) < MIN_NEAR_VMS:
        selected += groups.same_region.vms
    return (selected or groups.others.vms)[:MAX_NEAR_VMS]


def _near_high_capacity_vms(
    availability_zone: str, roster: Roster, fleet: FleetDocument, now_s: float
) -> tuple[RankedVm, ...]:
    """Return the high-capacity VMs near a client; none if all VMs are equal or too few are left.

    A VM that is no delegate hears of other zones through its delegates only, so contact that they
    report counts as well.
    """
    live = live_members(roster, now_s)
    strong = high_capacity_members(live)
    if len(strong) == len(live):
        return ()
    identities = sorted((m.identity for m in live if m.identity.vm in strong), key=attrgetter("vm"))
    groups = group_vms(availability_zone, identities, fleet)
    selected = groups.same_zone.vms
    if len(selected) < MIN_NEAR_VMS:
        selected += groups.same_region.vms
    return selected if len(selected) >= MIN_NEAR_VMS else ()
