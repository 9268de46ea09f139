"""Tests of the choice of the VMs that carry callers and control duties."""

import pytest
from attrs import evolve

from wagtailbay.capacity import VmCapacity, high_capacity_vms
from wagtailbay.locate import near_vms
from wagtailbay.membership import Member, Roster, VmIdentity, VmState
from wagtailbay.membership.layout import build_layout
from wagtailbay.programs.gateway_fleet_view import build_fleet_document
from wagtailbay.programs.gateway_settings import GatewaySettings, parse_capacity

STRONG, WEAK = VmCapacity(2.15, 100.0), VmCapacity(0.43, 5.0)
ZONES = {"a1": "a", "a2": "a", "b1": "b"}
NOW_S = 100.0


def make_roster(strong_per_zone: int, weak_per_zone: int) -> Roster:
    """Return the roster of a weak VM that has direct contact with its own zone only."""
    roster = Roster(VmIdentity("a1-weak-0", 1, "own:1", "", "a1", WEAK))
    roster.announce(VmState.LIVE)
    for zone in ZONES:
        for name, count, capacity in (
            ("strong", strong_per_zone, STRONG),
            ("weak", weak_per_zone, WEAK),
        ):
            for number in range(count):
                vm = f"{zone}-{name}-{number}"
                if vm == roster.own.vm:
                    continue
                identity = VmIdentity(vm, 1, f"{vm}:1", "", zone, capacity)
                direct_s = NOW_S if zone == "a1" else None
                roster.members[vm] = Member(identity, VmState.LIVE, 1, direct_s, NOW_S)
    return roster


class TestHighCapacityVms:
    """VMs that carry callers, by what their settings state."""

    def test_weak_link_or_processor_excludes_a_vm(self):
        """Guards against a VM with a narrow link that is chosen for its fast processor."""
        capacities = {
            "strong": STRONG,
            "narrow": VmCapacity(2.15, 5.0),
            "slow": VmCapacity(0.43, 100.0),
        }
        assert high_capacity_vms(capacities) == {"strong"}

    @pytest.mark.parametrize("capacity", [VmCapacity(), STRONG])
    def test_equal_vms_are_all_selected(self, capacity):
        """Guards against a fleet of equal VMs that is served by a part of them."""
        assert high_capacity_vms({"a": capacity, "b": capacity}) == {"a", "b"}

    def test_without_a_vm_that_has_both_all_are_selected(self):
        """Guards against an empty selection if the best processor and link are at two VMs."""
        capacities = {"narrow": VmCapacity(2.0, 1.0), "slow": VmCapacity(0.2, 100.0)}
        assert high_capacity_vms(capacities) == {"narrow", "slow"}


class TestLookups:
    """Lookups in a fleet of unequal VMs."""

    def find(self, roster: Roster, zone: str) -> set[str]:
        """Return the VMs that a lookup names for a zone."""
        settings = GatewaySettings(
            vm="x",
            availability_zone="a1",
            zones=ZONES,
            listen_address="127.0.0.1:1",
            ready_address="127.0.0.1:2",
            lookup_address="127.0.0.1:3",
            peer_address="127.0.0.1:4",
            platform_address="127.0.0.1:5",
        )
        return {vm.vm for vm in near_vms(zone, roster, build_fleet_document(settings), NOW_S)}

    def test_strong_vms_of_the_zone_are_named(self):
        """Guards against callers of a zone that get VMs with a narrow link."""
        assert self.find(make_roster(2, 5), "a1") == {"a1-strong-0", "a1-strong-1"}

    def test_zone_with_one_strong_vm_gets_those_of_its_region(self):
        """Guards against a zone whose callers have no other VM when their only one fails."""
        assert self.find(make_roster(1, 5), "a1") == {"a1-strong-0", "a2-strong-0"}

    def test_too_few_strong_vms_in_the_region_leave_all_vms(self):
        """Guards against a region that is served from another one although it has live VMs."""
        roster = make_roster(1, 2)
        for vm, member in roster.members.items():
            roster.members[vm] = evolve(member, direct_contact_s=NOW_S)
        assert self.find(roster, "b1") == {"b1-strong-0", "b1-weak-0", "b1-weak-1"}

    def test_equal_vms_are_named_as_before(self):
        """Guards against a change for fleets of equal VMs."""
        assert self.find(make_roster(0, 3), "a1") == {f"a1-weak-{n}" for n in range(3)}


class TestDelegates:
    """Delegates of cells in a fleet of unequal VMs."""

    def test_strong_vms_are_delegates_while_there_are_any(self):
        """Guards against control traffic of a cell that passes through a narrow link."""
        zones = {f"{zone}-{n}": zone for zone in ZONES for n in range(8)}
        strong = {f"{zone}-{n}" for zone in ZONES for n in (3, 5)}
        layout = build_layout(zones, list(zones), strong)
        assert {vm for names in layout.delegates.values() for vm in names} == strong

    def test_weak_vms_follow_if_strong_ones_are_lost(self):
        """Guards against a cell with a single delegate, which is cut off when it is replaced."""
        zones = {f"{zone}-{n}": zone for zone in ZONES for n in range(8)}
        layout = build_layout(zones, list(zones), {"a1-3"})
        names = layout.delegates["a1/0"]
        assert (len(names), names[0]) == (2, "a1-3")


class TestCapacitySettings:
    """The settings that state a VM's capacity."""

    @pytest.mark.parametrize("text", ["-1", "nan", "inf", "fast"])
    def test_unusable_numbers_are_rejected(self, text):
        """Guards against a VM that takes over all traffic by a wrong setting."""
        with pytest.raises(ValueError, match="number|convert"):
            parse_capacity(text)

    def test_empty_setting_means_not_known(self):
        """Guards against a start that fails where a deployment does not state the capacity."""
        assert parse_capacity("") == 0.0
