"""Tests for the roster, watcher selection, live view, quorum, isolation and the VM list."""

from membership.factories import identity, member

from wagtailbay.membership import (
    FactTable,
    IsolationCheck,
    LiveView,
    Quorum,
    Roster,
    VmState,
    choose_watchers,
    live_members,
)
from wagtailbay.membership.vm_list_reader import VmListReader
from wagtailbay.store import VmList, VmRecord


class TestRoster:
    """Newer incarnations replace older ones, and old entries are removed."""

    def test_message_of_older_incarnation_is_rejected(self) -> None:
        """Guards against a restarted VM that is overridden by its earlier incarnation."""
        roster = Roster(identity("a"))
        assert roster.record_message(member("b", incarnation=2), 1.0)
        assert not roster.record_message(member("b", incarnation=1, sequence=9), 2.0)
        assert not roster.merge([member("b", incarnation=1, sequence=9, contact_s=2.0)])

    def test_new_incarnation_does_not_inherit_contacts(self) -> None:
        """Guards against a VM that counts as in contact because its earlier incarnation was."""
        roster = Roster(identity("a"))
        roster.record_message(member("b"), 5.0)
        roster.merge([member("b", incarnation=2, contact_s=4.0)])
        assert roster.members["b"].direct_contact_s is None
        assert roster.members["b"].contact_s == 4.0

    def test_vm_without_contact_is_removed(self) -> None:
        """Guards against a roster that keeps every VM that was ever replaced."""
        roster = Roster(identity("a"))
        roster.record_message(member("b"), 0.0)
        roster.merge([member("b", contact_s=50.0)])
        roster.remove_expired(649.0)
        assert "b" in roster.members
        roster.remove_expired(651.0)
        assert set(roster.members) == {"a"}

    def test_newer_process_with_same_name_supersedes(self) -> None:
        """Guards against two processes with one VM name that go undetected."""
        roster = Roster(identity("a"))
        assert not roster.record_message(member("a", incarnation=2), 1.0)
        assert roster.superseded


class TestWatcherSelection:
    """The number of VMs that read the store does not grow with the fleet."""

    def test_two_watchers_per_region_at_any_fleet_size(self) -> None:
        """Guards against a number of store calls that grows with the fleet."""
        regions = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
        zones = list(regions)
        for count in (12, 520):
            fleet = [member(f"vm-{i}", zone=zones[i % 4]) for i in range(count)]
            assert len(choose_watchers(fleet, regions.get)) == 6

    def test_lost_watcher_is_replaced(self) -> None:
        """Guards against a region without watchers after both of them are lost."""
        roster = Roster(identity("a"))
        for vm in ("b", "c", "d"):
            roster.record_message(member(vm), 10.0)
        first = choose_watchers(live_members(roster, 12.0), lambda zone: "r")
        assert len(first) == 2
        assert choose_watchers(live_members(roster, 15.0), lambda zone: "r") == {"a"}


class TestLiveView:
    """Requests use a cached view of the live VMs."""

    def test_view_is_refreshed_after_its_interval(self) -> None:
        """Guards against a lost VM that keeps its share because the view is never refreshed."""
        roster = Roster(identity("a"))
        view = LiveView(roster)
        roster.record_message(member("b"), 10.0)
        assert view.refresh(10.0).zones.keys() == {"a", "b"}
        roster.record_message(member("c"), 10.1)
        assert "c" not in view.refresh(10.1).zones
        assert view.refresh(10.3).zones.keys() == {"a", "b", "c"}
        assert view.refresh(15.0).zones.keys() == {"a"}


class TestQuorum:
    """More than half of max_vms must have answered recently."""

    @staticmethod
    def quorum(max_vms: int, *peers: str, state: VmState = VmState.LIVE) -> Quorum:
        """Return the quorum of a live VM whose peers answered calls sent at 10 s."""
        roster = Roster(identity("a"))
        roster.announce(VmState.LIVE)
        quorum = Quorum(roster, lambda: max_vms)
        for vm in peers:
            roster.record_message(member(vm, state), 10.0)
            quorum.record_answer(vm, 1, 10.0)
        return quorum

    def test_half_of_the_votes_is_not_a_quorum(self) -> None:
        """Guards against two halves of a partitioned fleet that both have a quorum."""
        assert not self.quorum(6, "b", "c").has_quorum(10.0)
        assert self.quorum(6, "b", "c", "d").has_quorum(10.0)

    def test_old_answers_and_unready_peers_do_not_count(self) -> None:
        """Guards against a quorum of VMs that are disconnected or have no state yet."""
        assert not self.quorum(3, "b").has_quorum(13.1)
        for state in (VmState.JOINING, VmState.LEFT):
            assert not self.quorum(3, "b", state=state).has_quorum(10.0)
        restarted = self.quorum(3, "b")
        restarted.roster.record_message(member("b", incarnation=2), 10.5)
        assert not restarted.has_quorum(10.5)

    def test_only_configured_voters_count(self) -> None:
        """Guards against VMs without a vote that form a second quorum."""
        quorum = self.quorum(3, "b", "x", "y")
        quorum.has_vote = lambda vm: vm in ("a", "b", "c")
        assert quorum.has_quorum(10.0)
        quorum.has_vote = lambda vm: vm in ("b", "c", "d")
        assert not quorum.has_quorum(10.0)

    def test_starting_vm_does_not_count_itself(self) -> None:
        """Guards against two quorums that have only this VM in common, whose state was lost."""
        for max_vms, needed in ((10, 5), (11, 6), (4, 2), (3, 2)):
            peers = [f"p{i}" for i in range(needed)]
            assert self.quorum(max_vms, *peers).can_become_ready(10.0)
            assert not self.quorum(max_vms, *peers[1:]).can_become_ready(10.0)


class TestIsolationCheck:
    """A VM that may have lost its shares is isolated until its next exchange."""

    def test_isolated_after_20_s_without_contact_until_an_exchange(self) -> None:
        """Guards against a VM that uses a share which was reassigned to others."""
        check = IsolationCheck.starting(0.0)
        assert check.is_isolated(0.0)
        check.record_exchange(1.0, 1.1)
        for now_s in range(2, 22):
            assert not check.is_isolated(float(now_s))
        assert check.is_isolated(21.5)
        check.record_contact(22.0, 22.0)
        assert check.is_isolated(22.0)
        check.record_exchange(23.0, 23.1)
        assert not check.is_isolated(23.1)

    def test_stalled_loop_isolates_until_a_later_call_is_answered(self) -> None:
        """Guards against a resumed process that relies on an answer from before its pause."""
        check = IsolationCheck.starting(0.0)
        check.record_exchange(1.0, 1.0)
        check.tick(2.0)
        assert check.is_isolated(7.5)
        check.record_exchange(2.0, 7.6)
        assert check.is_isolated(7.6)
        check.record_exchange(7.7, 7.8)
        assert not check.is_isolated(7.8)

    def test_store_answers_prevent_isolation_without_peers(self) -> None:
        """Guards against a VM that is limited to the floor although the store answers."""
        check = IsolationCheck.starting(0.0)
        check.record_exchange(0.5, 0.5)
        for now_s in range(1, 60):
            check.record_contact(float(now_s), float(now_s))
            assert not check.is_isolated(float(now_s))


class TestVmList:
    """The platform's VM list is published when it changes and before it expires."""

    def test_unchanged_list_is_published_once(self) -> None:
        """Guards against watchers that each publish the same list every 10 s."""
        facts = FactTable("a", 1)
        reader = VmListReader(None, facts, lambda: True, lambda: 0.0)
        listed = VmList(4, (VmRecord("b", "127.0.0.1:1", "z1", "live"),))
        reader.publish(listed, 0.0)
        reader.publish(listed, 10.0)
        reader.publish(VmList(3, ()), 10.0)
        assert (facts.sequence, reader.latest_list()) == (1, listed)
        reader.publish(listed, 901.0)
        assert facts.sequence == 2
