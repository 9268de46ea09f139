"""View of the fleet for the components of a gateway."""

from math import inf

from attrs import define, field

from wagtailbay.config import FleetDocument
from wagtailbay.config.models import AvailabilityZone
from wagtailbay.membership import FleetLayout, LiveView
from wagtailbay.programs.fleet import Fleet
from wagtailbay.programs.gateway_settings import GatewaySettings


def build_fleet_document(settings: GatewaySettings) -> FleetDocument:
    """Build a fleet document from the settings, which give the zones but not the VM count."""
    zones = tuple(AvailabilityZone(zone, region) for zone, region in settings.zones.items())
    return FleetDocument(max_vms=len(zones), availability_zones=zones)


@define
class GatewayFleetView:
    """Provides the live VMs, their layout, and the VMs from which to borrow tokens."""

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

    def vm_count(self) -> int:
        """Return how many VMs share a rate; at least one per zone, as no VM may be known yet."""
        return max(len(self.settings.zones), len(self.live_zones()))

    def region_vms(self) -> list[str]:
        """Return the names of the live VMs in this VM's region."""
        zones, region = self.settings.zones, self.settings.region
        return [vm for vm, zone in self.live_zones().items() if zones.get(zone) == region]

    def loan_candidates(self) -> tuple[list[str], list[str]]:
        """Return the VMs to borrow from, as preferred VMs and fallbacks.

        In a divided fleet, these are the live VMs of this VM's cell and no others; otherwise the
        reachable VMs of its region, then the other reachable ones.
        """
        layout = self.layout()
        if layout.is_divided:
            return sorted(layout.cell_peers(self.settings.vm) & self.live_zones().keys()), []
        same_region = set(self.region_vms())
        reachable = [vm for vm, loop in self.fleet.peers.loops.items() if loop.last_error is None]
        return [vm for vm in reachable if vm in same_region], [
            vm for vm in reachable if vm not in same_region
        ]

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
