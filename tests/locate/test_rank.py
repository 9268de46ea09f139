"""Tests for the ranking of entry VMs."""

from collections import Counter

from attrs import evolve

from wagtailbay.config import AvailabilityZone, ClientBlock, FleetDocument
from wagtailbay.locate import VmRanker, rank_vms
from wagtailbay.locate.const import GROUPS_TTL_S, HEARTBEAT_TIMEOUT_S
from wagtailbay.membership import Member, Roster, VmIdentity, VmState

FLEET = FleetDocument(
    20,
    (
        AvailabilityZone("a1", "a"),
        AvailabilityZone("a2", "a"),
        AvailabilityZone("b1", "b"),
    ),
)


def make_roster(count: int) -> Roster:
    """Return a roster of live VMs spread over three zones, with heartbeats at 0 s."""
    roster = Roster(VmIdentity("vm-0", 1, "127.0.0.1:1", "", "a1"))
    roster.announce(VmState.LIVE)
    for number in range(1, count):
        zone = ("a1", "a2", "b1")[number % 3]
        identity = VmIdentity(f"vm-{number}", 1, "127.0.0.1:1", "", zone)
        roster.record_message(Member(identity, VmState.LIVE, 2), 0.0)
    return roster


class TestRankVms:
    """Nearby live VMs come first; leaving VMs are excluded."""

    def test_order_is_zone_region_others(self) -> None:
        """Guards against sending clients to another region while their own has VMs."""
        answer = rank_vms("client", "a2", make_roster(9), FLEET, 1.0)
        zones = [vm.availability_zone for vm in answer.vms]
        assert zones == ["a2"] * 3 + ["a1"] * 3 + ["b1"] * 3

    def test_clients_spread_over_a_zone(self) -> None:
        """Guards against a single VM that gets all clients of its zone."""
        roster = make_roster(12)
        first = {rank_vms(f"c{n}", "a1", roster, FLEET, 1.0).vms[0].vm for n in range(40)}
        assert len(first) == 4

    def test_leaving_and_unresponsive_vms_are_excluded(self) -> None:
        """Guards against answers that name a VM that is shutting down or unresponsive."""
        roster = make_roster(4)
        roster.record_message(Member(roster.members["vm-1"].identity, VmState.LEAVING, 3), 0.5)
        names = {vm.vm for vm in rank_vms("c", "a1", roster, FLEET, 1.0).vms}
        assert names == {"vm-0", "vm-2", "vm-3"}
        names = {vm.vm for vm in rank_vms("c", "a1", roster, FLEET, HEARTBEAT_TIMEOUT_S + 1).vms}
        assert names == {"vm-0"}

    def test_large_group_is_limited_to_one_zone(self) -> None:
        """Guards against a lookup that hashes the names of the whole fleet."""
        answer = rank_vms("c", "b1", make_roster(520), FLEET, 1.0)
        zones = [vm.availability_zone for vm in answer.vms]
        assert zones[:4] == ["b1"] * 4
        assert len(zones) == 8
        assert len(set(zones[4:])) == 1

    def test_large_fleet_answer_includes_other_zones_and_regions(self) -> None:
        """Guards against a client without an address when its whole zone or region fails."""
        for number in range(50):
            answer = rank_vms(f"c{number}", "a1", make_roster(60), FLEET, 1.0)
            zones = [vm.availability_zone for vm in answer.vms]
            assert zones == ["a1"] * 4 + ["a2"] * 2 + ["b1"] * 2

    def test_removed_vm_moves_only_its_own_clients(self) -> None:
        """Guards against a fleet change that moves all clients.

        Such a move would invalidate their warm caches.
        """
        roster = make_roster(60)
        before = {n: rank_vms(f"c{n}", "a1", roster, FLEET, 1.0).vms[0].vm for n in range(200)}
        gone = before[0]
        roster.record_message(Member(roster.members[gone].identity, VmState.LEAVING, 3), 1.0)
        after = {n: rank_vms(f"c{n}", "a1", roster, FLEET, 1.0).vms[0].vm for n in range(200)}
        assert {n for n in before if before[n] != after[n]} == {
            n for n in before if before[n] == gone
        }

    def test_first_choices_in_large_zone_are_balanced(self) -> None:
        """Guards against a VM that gets many times its fair share of clients."""
        roster = make_roster(156)
        ranker = VmRanker(roster)
        counts = Counter(ranker.rank(f"c{n}", "a1", FLEET, 1.0).vms[0].vm for n in range(5_200))
        assert len(counts) == 52
        # 100 clients per VM on average; the bounds are five standard deviations.
        assert 50 <= min(counts.values()) <= max(counts.values()) <= 150


class TestVmRanker:
    """Cached groups are reused only for a short time."""

    def test_leaving_vm_is_removed_after_ttl(self) -> None:
        """Guards against a cache that keeps a leaving VM in answers."""
        roster = make_roster(3)
        ranker = VmRanker(roster)
        assert len(ranker.rank("c", "a1", FLEET, 1.0).vms) == 3
        roster.record_message(Member(roster.members["vm-1"].identity, VmState.LEAVING, 3), 1.0)
        assert len(ranker.rank("c", "a1", FLEET, 1.0 + 2 * GROUPS_TTL_S).vms) == 2

    async def test_client_block_selects_zone(self) -> None:
        """Guards against sending a client to the zone of the VM that answers.

        The client must be sent to the zone of its block.
        """
        fleet = evolve(FLEET, client_blocks=(ClientBlock("203.0.113.0/24", "b1"),))
        ranker = VmRanker(make_roster(9))
        await ranker.map_blocks(fleet)
        assert ranker.rank("203.0.113.7", None, fleet, 1.0).vms[0].availability_zone == "b1"
        assert ranker.rank("198.51.100.7", None, fleet, 1.0).vms[0].availability_zone == "a1"
        assert ranker.rank("203.0.113.7", "a2", fleet, 1.0).vms[0].availability_zone == "a2"
