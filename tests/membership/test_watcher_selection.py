"""Tests that a watcher which no longer passes on changes is replaced in time."""

from membership.factories import identity, member

from wagtailbay.membership import FleetLayout, Roster, WatcherSelection, build_layout
from wagtailbay.membership.const import CONTACT_TIMEOUT_S

MAX_SILENCE_S = 1.5
VMS = ("vm-a", "vm-b", "vm-c", "vm-d")


class Fleet:
    """Watcher selections of VMs of one region that were in direct contact at 10 s.

    Attributes:
        silent_since_s: When VMs stopped answering, by name.
        failing: VMs whose store calls fail.
    """

    def __init__(self, *vms: str, layout: FleetLayout | None = None) -> None:
        self.layout = layout or FleetLayout({"": vms}, {})
        self.silent_since_s: dict[str, float] = {}
        self.failing: set[str] = set()
        self.vms = vms
        self.rosters = {vm: Roster(identity(vm)) for vm in vms}

    def watchers(self, now_s: float) -> set[str]:
        """Return the VMs that answer and see themselves as watchers."""
        return {
            vm
            for vm in self.vms
            if vm not in self.silent_since_s and self.selection(vm, now_s).is_watcher(now_s)
        }

    def selection(self, vm: str, now_s: float) -> WatcherSelection:
        """Return the selection of a VM that heard each neighbour as late as possible."""
        roster = self.rosters[vm]
        neighbours = self.layout.neighbours(vm) or set(self.vms) - {vm}
        for name in neighbours:
            heard_s = min(now_s, self.silent_since_s.get(name, now_s))
            roster.record_message(member(name), heard_s)
        return WatcherSelection(
            roster,
            lambda zone: "region",
            lambda: self.layout,
            lambda name: name in self.failing,
            MAX_SILENCE_S,
        )


class TestSilentWatchers:
    """Watchers that lose power or freeze are replaced before a change is overdue."""

    def test_silent_watchers_are_replaced_while_they_count_as_live(self) -> None:
        """Guards against VMs that follow an old configuration until lost watchers time out."""
        fleet = Fleet(*VMS)
        lost = fleet.watchers(10.0)
        assert len(lost) == 2
        fleet.silent_since_s = dict.fromkeys(lost, 10.0)
        assert fleet.watchers(10.0 + MAX_SILENCE_S) == set(VMS) - lost
        assert MAX_SILENCE_S < CONTACT_TIMEOUT_S

    def test_watchers_stay_between_regular_heartbeats(self) -> None:
        """Guards against a listing by each VM whenever a heartbeat is due."""
        fleet = Fleet(*VMS)
        chosen = fleet.watchers(10.0)
        fleet.silent_since_s = dict.fromkeys(set(VMS) - chosen, 10.0)
        assert fleet.watchers(11.2) == chosen

    def test_only_vm_that_is_left_watches(self) -> None:
        """Guards against a VM that waits for peers when all others lost power."""
        fleet = Fleet(*VMS)
        fleet.silent_since_s = dict.fromkeys(VMS[1:], 10.0)
        assert fleet.watchers(10.0 + MAX_SILENCE_S) == {VMS[0]}


class TestWatchersWithoutStore:
    """Watchers whose store calls fail are replaced although they answer their peers."""

    def test_watchers_cut_off_from_the_store_are_replaced(self) -> None:
        """Guards against changes that nobody reads while both watchers are cut off."""
        fleet = Fleet(*VMS)
        fleet.failing = fleet.watchers(10.0)
        assert fleet.watchers(10.1) == set(VMS) - fleet.failing

    def test_store_that_fails_for_all_keeps_two_watchers(self) -> None:
        """Guards against an outage after which no VM, or each VM, calls the store."""
        fleet = Fleet(*VMS)
        chosen, fleet.failing = fleet.watchers(10.0), set(VMS)
        assert fleet.watchers(10.1) == chosen


class TestDividedFleet:
    """In a divided fleet each VM relies on VMs that it exchanges messages with."""

    def make_fleet(self) -> Fleet:
        """Return a fleet of three cells of one region."""
        zones = {f"vm-{zone}{n}": f"z{zone}" for zone in range(3) for n in range(8)}
        return Fleet(*zones, layout=build_layout(zones, zones.keys()))

    def test_one_delegate_of_each_rank_watches(self) -> None:
        """Guards against a watcher that is no neighbour of half of the delegates."""
        fleet = self.make_fleet()
        ranks = sorted(fleet.layout.delegate_rank(vm) for vm in fleet.watchers(10.0))
        assert ranks == [0, 1]

    def test_lost_watchers_are_replaced_by_delegates(self) -> None:
        """Guards against a region of a large fleet that follows lost watchers."""
        fleet = self.make_fleet()
        lost = fleet.watchers(10.0)
        fleet.silent_since_s = dict.fromkeys(lost, 10.0)
        watchers = fleet.watchers(10.0 + MAX_SILENCE_S)
        assert sorted(fleet.layout.delegate_rank(vm) for vm in watchers) == [0, 1]

    def test_cell_without_delegates_reads_the_store(self) -> None:
        """Guards against a cell that gets no changes until it has new delegates."""
        fleet = self.make_fleet()
        cell, delegates = next(iter(fleet.layout.delegates.items()))
        fleet.silent_since_s = dict.fromkeys(delegates, 10.0)
        others = set(fleet.layout.cells[cell]) - set(delegates)
        assert others <= fleet.watchers(10.0 + MAX_SILENCE_S)
