"""Tests for the division of a large fleet into cells."""

from collections import Counter

from wagtailbay.membership import FleetLayout, build_layout
from wagtailbay.membership.const import DELEGATES_PER_CELL, FULL_MESH_VMS


def make_fleet_zones(vms: int, zones: int) -> dict[str, str]:
    """Return the zone of each VM of a fleet whose VMs are spread evenly over the zones."""
    return {f"vm-{number}": f"z{number % zones}" for number in range(vms)}


def exchange_hops(layout: FleetLayout, source: str) -> dict[str, int]:
    """Return after how many exchanges an update from one VM reaches each VM."""
    reached, frontier = {source: 0}, [source]
    linked: dict[str, set[str]] = {}
    for vm in layout.cell_by_vm:
        for other in layout.neighbours(vm):
            # An exchange transfers updates in both directions, whichever side calls.
            linked.setdefault(vm, set()).add(other)
            linked.setdefault(other, set()).add(vm)
    while frontier:
        next_frontier = []
        for vm in frontier:
            for other in linked[vm] - reached.keys():
                reached[other] = reached[vm] + 1
                next_frontier.append(other)
        frontier = next_frontier
    return reached


class TestLayout:
    """Updates reach every VM within few exchanges, and no VM has many peers."""

    def test_small_fleet_is_a_full_mesh(self) -> None:
        """Guards against updates that need more than one exchange in a fleet of today's size."""
        zones = make_fleet_zones(FULL_MESH_VMS, 6)
        layout = build_layout(zones, set(zones))
        assert not layout.is_divided
        assert all(layout.neighbours(vm) == zones.keys() - {vm} for vm in zones)
        assert not any(layout.is_delegate(vm) for vm in zones)

    def test_peer_count_is_bounded_by_root_of_fleet_size(self) -> None:
        """Guards against a full mesh at 75 or 520 VMs."""
        for vms, zones in ((75, 6), (68, 9), (300, 6), (520, 10)):
            zone_by_vm = make_fleet_zones(vms, zones)
            layout = build_layout(zone_by_vm, set(zone_by_vm))
            peers = [len(layout.neighbours(vm)) for vm in zone_by_vm]
            assert max(peers) <= 3 * vms**0.5
            assert sorted(peers)[vms // 2] == DELEGATES_PER_CELL

    def test_updates_reach_every_vm_over_few_exchanges(self) -> None:
        """Guards against updates that take many seconds to cross a large fleet."""
        for vms, zones in ((75, 6), (520, 10)):
            zone_by_vm = make_fleet_zones(vms, zones)
            reached = exchange_hops(build_layout(zone_by_vm, set(zone_by_vm)), "vm-7")
            assert len(reached) == vms
            assert max(reached.values()) <= 4
            assert Counter(reached.values())[4] <= vms / 10

    def test_lost_delegate_is_replaced_and_lost_cell_is_still_called(self) -> None:
        """Guards against a zone that stays disconnected after the network recovers."""
        zone_by_vm = make_fleet_zones(75, 6)
        layout = build_layout(zone_by_vm, set(zone_by_vm))
        lost = layout.delegates["z0/0"]
        without = build_layout(zone_by_vm, set(zone_by_vm) - {lost[0]})
        assert without.delegates["z0/0"][0] == lost[1]
        unreachable = {vm for vm, zone in zone_by_vm.items() if zone == "z0"}
        divided = build_layout(zone_by_vm, set(zone_by_vm) - unreachable)
        delegate = divided.delegates["z1/0"][0]
        assert divided.neighbours(delegate) & unreachable

    def test_added_vm_leaves_other_vms_in_their_cells(self) -> None:
        """Guards against cells that are reassigned with each replaced VM."""
        zone_by_vm = make_fleet_zones(75, 6)
        before = build_layout(zone_by_vm, set(zone_by_vm))
        after = build_layout(zone_by_vm | {"new": "z1"}, set(zone_by_vm) | {"new"})
        assert all(after.cell_by_vm[vm] == cell for vm, cell in before.cell_by_vm.items())
