"""View of the fleet for the components of a gateway."""

from collections import Counter
from math import inf

from attrs import define, field

from wagtailbay.config import FleetDocument
from wagtailbay.config.models import AvailabilityZone
from wagtailbay.membership import FleetLayout, LiveView, VmState, is_in_contact
from wagtailbay.programs.fleet import Fleet
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.quota import grant_fraction

# An owner that hears no other VM for longer than this, for example because it was suspended, grants
# nothing. The others replace it after 4 s.
OWNER_CONTACT_TIMEOUT_S = 2.5


def build_fleet_document(settings: GatewaySettings) -> FleetDocument:
    """Build a fleet document from the settings, which give the zones but not the VM count."""
    zones = tuple(AvailabilityZone(zone, region) for zone, region in settings.zones.items())
    return FleetDocument(max_vms=len(zones), availability_zones=zones)


@define
class GatewayFleetView:
    """Provides the live VMs, their layout, and the VMs that own the rates of workspaces."""

    settings: GatewaySettings
    fleet: Fleet
    live_view: LiveView = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the view of live VMs from the roster."""
        self.live_view = LiveView(self.fleet.roster)

    def live_zones(self) -> dict[str, str]:
        """Return the availability zones of the live VMs, keyed by VM name."""
        return self.live_view.refresh(self.fleet.clock()).zones

    def live_vms(self) -> list[str]:
        """Return the names of the live VMs, including this one."""
        return list(self.live_zones())

    def live_by_region(self) -> Counter[str]:
        """Return the number of live VMs by region, including this one."""
        return Counter(self.settings.zones.get(zone, "") for zone in self.live_zones().values())

    def serving_vms(self) -> frozenset[str]:
        """Return the live VMs that lookups name: in a fleet of unequal VMs, the strong ones."""
        return self.live_view.refresh(self.fleet.clock()).high_capacity

    def region_serving_vms(self) -> list[str]:
        """Return the names of the live VMs in this VM's region that serve callers."""
        zones, region = self.settings.zones, self.settings.region
        serving = self.serving_vms()
        return [
            vm
            for vm, zone in self.live_zones().items()
            if zones.get(zone) == region and vm in serving
        ]

    def rate_owner_candidates(self) -> tuple[str, ...]:
        """Return the VMs that may own the rate of a workspace, the same on all VMs.

        In a divided fleet these are the delegates, so that a VM calls a few others only.
        """
        vms = self.live_zones().keys()
        if self.fleet.roster.own_member.state is not VmState.LIVE:
            vms = vms - {self.settings.vm}
        layout = self.layout()
        if layout.is_divided:
            vms = [vm for vm in vms if layout.is_delegate(vm)]
        else:
            vms = (vms & self.serving_vms()) or vms
        return tuple(sorted(vms))

    def grant_fraction(self, now_s: float) -> float:
        """Return which part of a workspace's rate this VM may grant as its owner.

        While no other VM is known at all, each availability zone may have an owner of its own.
        """
        roster = self.fleet.roster
        others = [
            member
            for member in roster.members.values()
            if member.identity.vm != self.settings.vm
            and member.state is not VmState.LEFT
            and member.contact_s is not None
        ]
        if others and self.contact_age_s(now_s) >= OWNER_CONTACT_TIMEOUT_S:
            return 0.0
        lost_ages_s = [
            now_s - member.contact_s for member in others if not is_in_contact(member, now_s)
        ]
        in_contact = len(others) - len(lost_ages_s)
        return grant_fraction(in_contact, lost_ages_s, 1 / len(self.settings.zones))

    def contact_age_s(self, now_s: float) -> float:
        """Return the time since the last direct contact with a peer, infinity if there was none."""
        members = self.fleet.roster.members.values()
        contact_times_s = [
            member.direct_contact_s for member in members if member.direct_contact_s is not None
        ]
        return now_s - max(contact_times_s) if contact_times_s else inf

    def layout(self) -> FleetLayout:
        """Return the division of the fleet into cells."""
        return self.fleet.exchanger.layout

    def pushes_objects(self) -> bool:
        """Return whether this VM sends objects to peers that may get them from another VM."""
        if self.layout().is_divided:
            # Watchers are chosen from the delegates.
            return self.layout().is_delegate(self.settings.vm)
        return self.fleet.reader.is_watcher()
