"""Answer what the parts of a gateway ask about the fleet."""

from math import inf

from attrs import define, field

from wagtailbay.config import FleetDocument
from wagtailbay.config.models import AvailabilityZone
from wagtailbay.membership import FleetLayout, LiveView
from wagtailbay.programs.fleet import Fleet
from wagtailbay.programs.gateway_settings import GatewaySettings


def build_fleet_document(settings: GatewaySettings) -> FleetDocument:
    """Return what the settings say of the fleet; how many VMs there are is not among it."""
    zones = tuple(AvailabilityZone(zone, region) for zone, region in settings.zones.items())
    return FleetDocument(max_vms=len(zones), availability_zones=zones)


@define
class GatewayFleetView:
    """Know the live VMs, those of this VM's region, and whom to ask for tokens."""

    settings: GatewaySettings
    fleet: Fleet
    live_view: LiveView = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Look at the fleet's roster."""
        self.live_view = LiveView(self.fleet.roster)

    def live_zones(self) -> dict[str, str]:
        """Return the availability zone of each live VM by its name."""
        return self.live_view.refresh(self.fleet.clock()).zones

    def live_vms(self) -> list[str]:
        """Return the names of the live VMs, this one included."""
        return list(self.live_zones())

    def vm_count(self) -> int:
        """Return how many VMs divide a rate evenly; before any are known, one a zone."""
        return max(len(self.settings.zones), len(self.live_zones()))

    def region_vms(self) -> list[str]:
        """Return the names of the live VMs of this VM's region."""
        zones, region = self.settings.zones, self.settings.region
        return [vm for vm, zone in self.live_zones().items() if zones.get(zone) == region]

    def loan_candidates(self) -> tuple[list[str], list[str]]:
        """Return the VMs to borrow from: those of this one's cell, or near ones and others."""
        layout = self.layout()
        if layout.is_divided:
            return sorted(layout.cell_peers(self.settings.vm) & self.live_zones().keys()), []
        same_region = set(self.region_vms())
        reachable = [vm for vm, loop in self.fleet.peers.loops.items() if loop.last_error is None]
        return [vm for vm in reachable if vm in same_region], [
            vm for vm in reachable if vm not in same_region
        ]

    def contact_age_s(self, now_s: float) -> float:
        """Return how long ago a peer was heard, infinity if never."""
        members = self.fleet.roster.members.values()
        contact_times_s = [
            member.direct_contact_s for member in members if member.direct_contact_s is not None
        ]
        return now_s - max(contact_times_s) if contact_times_s else inf

    def layout(self) -> FleetLayout:
        """Return how the fleet is divided."""
        return self.fleet.exchanger.layout

    def pushes_objects(self) -> bool:
        """Tell whether this VM sends objects to peers that may have them from another VM."""
        if self.layout().is_divided:
            # Watchers are chosen among the delegates.
            return self.layout().is_delegate(self.settings.vm)
        return self.fleet.reader.is_watcher()
