"""Tests for the contact times that delegates relay in a divided fleet."""

from membership.factories import call, exchanger, identity

from wagtailbay.membership import Exchanger, build_layout, live_members
from wagtailbay.membership.const import INDIRECT_CONTACT_TIMEOUT_S

ZONES = {f"vm-{number}": f"z{number % 3}" for number in range(24)}


def live_exchanger(vm: str, zone: str) -> Exchanger:
    """Return the exchanger of a live VM in a zone, whose roster contains only the VM itself."""
    made = exchanger(vm)
    made.roster.own = identity(vm, zone=zone)
    made.roster.members.clear()
    made.roster.__attrs_post_init__()
    made.roster.announce(made.roster.own_member.state.LIVE)
    return made


class Fleet:
    """Simulate VMs that exchange messages with their neighbours once a second."""

    def __init__(self) -> None:
        self.vms = {vm: live_exchanger(vm, zone) for vm, zone in ZONES.items()}
        self.now_s = 100.0

    def live_vms(self, vm: str) -> set[str]:
        """Return the VMs that a VM counts as live."""
        members = live_members(self.vms[vm].roster, self.now_s)
        return {member.identity.vm for member in members}

    def advance(self, seconds: int) -> None:
        """Run one round of exchanges between all running VMs for each second."""
        for _ in range(seconds):
            self.now_s += 1.0
            for vm, own in self.vms.items():
                own.layout = build_layout(
                    ZONES, self.live_vms(vm) if self.now_s > 103 else set(ZONES)
                )
            for vm, own in self.vms.items():
                for other in sorted(own.layout.neighbours(vm) & self.vms.keys()):
                    call(own, self.vms[other], self.now_s)


class TestContactRelay:
    """All VMs agree on the live VMs, although each is in direct contact with few."""

    def test_every_vm_stays_in_all_live_views(self) -> None:
        """Guards against locate responses in which VMs of other cells come and go."""
        fleet = Fleet()
        fleet.advance(6)
        for _ in range(10):
            fleet.advance(1)
            assert all(fleet.live_vms(vm) == ZONES.keys() for vm in ZONES)

    def test_lost_vm_leaves_all_live_views_in_time(self) -> None:
        """Guards against a killed VM that VMs of other cells return for over seven seconds."""
        fleet = Fleet()
        fleet.advance(8)
        delegate = fleet.vms["vm-0"].layout.delegates["z1/0"][0]
        del fleet.vms[delegate]
        lost_s = fleet.now_s
        while fleet.now_s < lost_s + INDIRECT_CONTACT_TIMEOUT_S + 1:
            fleet.advance(1)
        assert all(fleet.live_vms(vm) == ZONES.keys() - {delegate} for vm in fleet.vms)

    def test_only_delegates_relay_contacts(self) -> None:
        """Guards against messages that contain the contact times of the whole fleet."""
        fleet = Fleet()
        fleet.advance(8)
        for vm, other in fleet.vms.items():
            relayed = {contact.vm for contact in other.build_message("vm-0", fleet.now_s).contacts}
            assert "vm-0" not in relayed
            if not other.layout.is_delegate(vm):
                assert not relayed
            elif ZONES[vm] != ZONES["vm-0"]:
                assert {ZONES[name] for name in relayed} == {ZONES[vm]}
