"""Test the ranking of entry VMs."""

from collections import Counter

from attrs import evolve

from wagtailbay.config import AvailabilityZone, ClientBlock, FleetDocument
from wagtailbay.locate import VmRanker, rank_vms
from wagtailbay.locate.const import GROUPS_TTL_S, UNHEARD_AFTER_S
from wagtailbay.membership import Member, Roster, VmIdentity, VmState

FLEET = FleetDocument(
    20,
    (
        AvailabilityZone("a1", "a"),
        AvailabilityZone("a2", "a"),
        AvailabilityZone("b1", "b"),
    ),
)


def roster_of(count: int) -> Roster:
    """Return a roster of live VMs in turn in three zones, heard at 0 s."""
    roster = Roster(VmIdentity("vm-0", 1, "127.0.0.1:1", "", "a1"))
    roster.announce(VmState.LIVE)
    for number in range(1, count):
        zone = ("a1", "a2", "b1")[number % 3]
        identity = VmIdentity(f"vm-{number}", 1, "127.0.0.1:1", "", zone)
        roster.record_message(Member(identity, VmState.LIVE, 2), 0.0)
    return roster


class TestRankVms:
    """Near live VMs come first; none that leaves is named."""

    def test_order_is_zone_region_others(self) -> None:
        """Guards against callers that are sent to another region without need."""
        answer = rank_vms("client", "a2", roster_of(9), FLEET, 1.0)
        zones = [vm.availability_zone for vm in answer.vms]
        assert zones == ["a2"] * 3 + ["a1"] * 3 + ["b1"] * 3

    def test_clients_spread_over_a_zone(self) -> None:
        """Guards against one VM that takes all callers of its zone."""
        roster = roster_of(12)
        first = {rank_vms(f"c{n}", "a1", roster, FLEET, 1.0).vms[0].vm for n in range(40)}
        assert len(first) == 4

    def test_leaving_and_unheard_vms_are_left_out(self) -> None:
        """Guards against answers that name a VM about to end or dead."""
        roster = roster_of(4)
        roster.record_message(Member(roster.members["vm-1"].identity, VmState.LEAVING, 3), 0.5)
        names = {vm.vm for vm in rank_vms("c", "a1", roster, FLEET, 1.0).vms}
        assert names == {"vm-0", "vm-2", "vm-3"}
        names = {vm.vm for vm in rank_vms("c", "a1", roster, FLEET, UNHEARD_AFTER_S + 1).vms}
        assert names == {"vm-0"}

    def test_large_group_is_cut_to_one_zone(self) -> None:
        """Guards against hashing the whole fleet for each look-up."""
        answer = rank_vms("c", "b1", roster_of(520), FLEET, 1.0)
        zones = [vm.availability_zone for vm in answer.vms]
        assert zones[:4] == ["b1"] * 4
        assert len(zones) == 8
        assert len(set(zones[4:])) == 1

    def test_a_large_fleet_leaves_a_way_out_of_zone_and_region(self) -> None:
        """Guards against a client without an address when its zone or region fails."""
        for number in range(50):
            answer = rank_vms(f"c{number}", "a1", roster_of(60), FLEET, 1.0)
            zones = [vm.availability_zone for vm in answer.vms]
            assert zones == ["a1"] * 4 + ["a2"] * 2 + ["b1"] * 2

    def test_a_vm_that_goes_moves_its_own_clients_only(self) -> None:
        """Guards against warm caches lost by all clients at each change of the fleet."""
        roster = roster_of(60)
        before = {n: rank_vms(f"c{n}", "a1", roster, FLEET, 1.0).vms[0].vm for n in range(200)}
        gone = before[0]
        roster.record_message(Member(roster.members[gone].identity, VmState.LEAVING, 3), 1.0)
        after = {n: rank_vms(f"c{n}", "a1", roster, FLEET, 1.0).vms[0].vm for n in range(200)}
        assert {n for n in before if before[n] != after[n]} == {
            n for n in before if before[n] == gone
        }

    def test_first_choices_of_a_large_zone_are_even(self) -> None:
        """Guards against a hash that sends many times a fair share of clients to one VM."""
        roster = roster_of(156)
        groups = VmRanker(roster)
        counts = Counter(groups.rank(f"c{n}", "a1", FLEET, 1.0).vms[0].vm for n in range(5_200))
        assert len(counts) == 52
        # 100 clients for each of 52 VMs; five standard deviations.
        assert 50 <= min(counts.values()) <= max(counts.values()) <= 150


class TestVmRanker:
    """Groups are reused for a short time only."""

    def test_a_leaving_vm_drops_out_soon(self) -> None:
        """Guards against a cache that keeps naming a VM that leaves."""
        roster = roster_of(3)
        ranker = VmRanker(roster)
        assert len(ranker.rank("c", "a1", FLEET, 1.0).vms) == 3
        roster.record_message(Member(roster.members["vm-1"].identity, VmState.LEAVING, 3), 1.0)
        assert len(ranker.rank("c", "a1", FLEET, 1.0 + 2 * GROUPS_TTL_S).vms) == 2

    async def test_block_of_the_client_decides(self) -> None:
        """Guards against a client that is sent to the zone of the VM it asked by chance."""
        fleet = evolve(FLEET, client_blocks=(ClientBlock("203.0.113.0/24", "b1"),))
        ranker = VmRanker(roster_of(9))
        await ranker.map_blocks(fleet)
        assert ranker.rank("203.0.113.7", None, fleet, 1.0).vms[0].availability_zone == "b1"
        assert ranker.rank("198.51.100.7", None, fleet, 1.0).vms[0].availability_zone == "a1"
        assert ranker.rank("203.0.113.7", "a2", fleet, 1.0).vms[0].availability_zone == "a2"
