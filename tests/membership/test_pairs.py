"""Test that regular calls by one VM of each pair suffice for both."""

from collections import Counter
from typing import Any

import pytest
import trio
from attrs import define, evolve, field
from hypothesis import given
from hypothesis import strategies as st
from membership.factories import CODEC, VALUE, call, exchanger
from result import Err, Ok, Result

from wagtailbay.membership import Exchanger, PeerError, PeerFailure, PeerLoop, PeerServer, VmState
from wagtailbay.membership.const import CALL_BACK_AFTER_S, HEARTBEAT_S, QUORUM_CONTACT_TIMEOUT_S
from wagtailbay.membership.messages import ClockEcho, ExchangeMessage
from wagtailbay.membership.peer_sync import PeerSyncState
from wagtailbay.membership.selection import is_call_initiator
from wagtailbay.membership.wire import decode_exchange, encode_exchange
from wagtailbay.store import StoredObject


def encode_and_decode(message: ExchangeMessage, now_s: float) -> ExchangeMessage:
    """Return a message as its receiver decodes it."""
    return decode_exchange(encode_exchange(message, CODEC, now_s), CODEC, now_s).ok_value


def connected_pair() -> tuple[Exchanger, Exchanger]:
    """Return VMs a and b, where b has answered a call from a at 1 s."""
    a, b = exchanger("a"), exchanger("b")
    a.freshness.confirm(1.0)
    call(a, b, 1.0)
    return a, b


class TestEchoProof:
    """A call that echoes a mark proves contact at a time when its sender had the mark."""

    def test_second_call_proves_contact(self) -> None:
        """Guards against unnecessary calls to a peer that calls this VM every second."""
        a, b = connected_pair()
        a.freshness.confirm(2.0)
        call(a, b, 2.0)
        assert b.quorum.answering_peers(2.0) == {"a"}
        # Of the second for which a held the mark, a tenth is deducted for clock differences.
        assert 90 <= b.freshness.age_ms(2.0) <= 110

    @pytest.mark.parametrize("validates_call_age", [True, False])
    def test_delayed_call_proves_nothing_after_its_building(self, validates_call_age: bool) -> None:
        """Guards against use of withdrawn keys and reclaimed shares after this process was stopped.

        A call that waited meanwhile must not count as if it had been sent when it arrived.
        """
        a, b = connected_pair()
        b.validates_call_age = validates_call_age
        a.freshness.confirm(2.0)
        delayed = encode_and_decode(a.build_message("b", 2.0), 2.0)
        b.isolation.tick(2.0)
        b.apply_message(delayed, 70.0)
        is_not_counted = (
            not b.quorum.answering_peers(70.0)
            and b.isolation.is_isolated(70.0)
            and b.freshness.age_ms(70.0) >= 68_000
        )
        assert is_not_counted is validates_call_age

    def test_incoming_calls_prevent_but_do_not_end_isolation(self) -> None:
        """Guards against needless isolation, and against using shares that others reclaimed."""
        a, b = connected_pair()
        for now_s in range(2, 6):
            call(a, b, float(now_s))
            assert b.isolation.is_isolated(float(now_s))
        call(b, a, 6.0)
        for now_s in range(6, 60):
            b.isolation.tick(now_s + 0.0)
            call(a, b, now_s + 0.5)
            assert not b.isolation.is_isolated(now_s + 0.5)
        assert b.isolation.is_isolated(66.0)
        call(a, b, 66.1)
        call(a, b, 67.1)
        assert b.isolation.is_isolated(67.1)
        assert b.call_deferral_s("a", 67.1) <= 0

    def test_calls_with_lost_answers_do_not_prevent_isolation(self) -> None:
        """Guards against use of a share after peers without contact to the VM reclaimed it."""
        a, b = connected_pair()
        call(b, a, 1.5)
        call(a, b, 2.0)
        for now_s in range(3, 30):
            b.isolation.tick(float(now_s))
            call(a, b, float(now_s), lose_answer=True)
            # The last contact of a peer with b was at 2 s.
            assert b.isolation.contact_s <= 2.0
            if now_s != 22:
                assert b.isolation.is_isolated(float(now_s)) is (now_s > 22)

    @pytest.mark.parametrize(
        "echo",
        [
            ClockEcho(1_001, 0),
            ClockEcho(1_000, 2_000),
            ClockEcho(2**63, 0),
            ClockEcho(1, 2**63),
            None,
        ],
    )
    def test_unissued_mark_or_excessive_hold_time_proves_nothing(self, echo: Any) -> None:
        """Guards against contact proven by a peer with a wrong clock or invented marks."""
        a, b = connected_pair()
        b.apply_message(evolve(a.build_message("b", 2.0), echo=echo), 2.0)
        assert not b.quorum.answering_peers(2.0)

    def test_mark_of_earlier_incarnation_proves_nothing(self) -> None:
        """Guards against a restarted VM that counts marks issued by its earlier incarnation."""
        a, _ = connected_pair()
        restarted = exchanger("b", incarnation=2)
        restarted.apply_message(encode_and_decode(a.build_message("b", 2.0), 2.0), 2.0)
        restarted.build_message("a", 2.0, is_answer=True)
        restarted.apply_message(encode_and_decode(a.build_message("b", 2.5), 2.5), 2.5)
        assert not restarted.quorum.answering_peers(2.5)
        assert restarted.isolation.is_isolated(2.5)

    def test_caller_with_newer_replica_or_not_ready_does_not_count(self) -> None:
        """Guards against a quorum with a VM that has a withdrawal which this one lacks."""
        a, b = connected_pair()
        a.replica.apply([StoredObject("keys/1", 1, "x" * 900_000)], 1)
        a.replica.apply([StoredObject("keys/2", 2, "x" * 900_000)], 2)
        call(a, b, 2.0)
        assert (b.replica.revision, b.quorum.answering_peers(2.0)) == (1, frozenset())
        call(a, b, 3.0)
        assert b.quorum.answering_peers(3.0) == {"a"}
        a, b = connected_pair()
        a.roster.announce(VmState.JOINING)
        call(a, b, 2.0)
        assert not b.quorum.answering_peers(2.0)

    @given(
        st.integers(0, 5_000),
        st.integers(0, 60_000),
        st.integers(0, 60_000),
        st.floats(0.9, 1.1),
        st.integers(1_000, 10**10),
    )
    def test_proven_time_is_not_after_the_call_was_built(
        self,
        answer_delay_ms: int,
        held_ms: int,
        call_delay_ms: int,
        clock_rate: float,
        start_ms: int,
    ) -> None:
        """Guards against a proven time that is too late because two clocks differ in rate."""
        receiver, caller = PeerSyncState(), PeerSyncState()
        caller.mark_ms = receiver.issue_mark(start_ms / 1000, 0)
        caller.mark_received_s = 500.0
        echo = caller.build_echo(500.0 + held_ms * clock_rate / 1000)
        built_s = (start_ms + answer_delay_ms + held_ms) / 1000
        proven_s = receiver.proven_call_s(echo, built_s + call_delay_ms / 1000)
        assert proven_s is None or proven_s <= built_s + 1e-6


class TestMemberUpdates:
    """Changed members are sent until the receiver has acknowledged them."""

    def test_members_of_lost_message_are_resent(self) -> None:
        """Guards against missing a VM that leaves while an answer or call is lost."""
        a, b, c = exchanger("a"), exchanger("b"), exchanger("c")
        call(c, b, 1.0)
        call(a, b, 1.0)
        c.roster.announce(VmState.LEAVING)
        call(c, b, 2.0)
        call(a, b, 2.0, lose_answer=True)
        call(a, b, 3.0)
        assert a.roster.members["c"].state is VmState.LEAVING
        d = exchanger("d")
        call(d, a, 4.0)
        assert "d" in [m.identity.vm for m in a.build_message("b", 4.5).members]
        assert "d" in [m.identity.vm for m in a.build_message("b", 5.0).members]

    def test_only_changed_members_are_selected(self) -> None:
        """Guards against regular exchanges whose cost grows with the fleet."""
        a, b = exchanger("a"), exchanger("b")
        for number in range(50):
            call(exchanger(f"v{number}"), a, 1.0)
        call(a, b, 1.0)
        call(a, b, 1.5)
        assert a.roster.changed_after(a.peer_states["b"].members_acked) == []
        call(exchanger("new"), a, 2.0)
        changed = a.roster.changed_after(a.peer_states["b"].members_acked)
        assert [member.identity.vm for member in changed] == ["new"]

    def test_restarted_peer_receives_all_members(self) -> None:
        """Guards against a new incarnation that never receives members sent to the earlier one."""
        a, b, c = exchanger("a"), exchanger("b"), exchanger("c")
        call(c, a, 1.0)
        call(a, b, 1.0)
        call(a, exchanger("b", incarnation=2), 2.0)
        assert "c" in [member.identity.vm for member in a.build_message("b", 3.0).members]


@define
class InProcessClient:
    """Calls servers in the same process; VMs in ``unreachable`` neither call nor answer."""

    servers: dict[str, PeerServer]
    caller: str
    calls: Counter
    unreachable: set[str] = field(factory=set)

    async def exchange(self, vm: str, data: bytes) -> Result[bytes, PeerError]:
        """Count the call and let the server handle it."""
        await trio.sleep(0.001)
        self.calls[self.caller] += 1
        if vm in self.unreachable or self.caller in self.unreachable:
            return Err(PeerError(vm, PeerFailure.UNREACHABLE, "cut"))
        return Ok(self.servers[vm].handle_exchange(data).ok_value)


@define
class PeerPair:
    """Two VMs, each with a peer loop to the other."""

    calls: Counter = field(factory=Counter)
    unreachable: set[str] = field(factory=set)
    loops: dict[str, PeerLoop] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        names = ("a", "b")
        exchangers = {vm: exchanger(vm, max_vms=2) for vm in names}
        servers = {
            vm: PeerServer(vm_exchanger, CODEC, trio.current_time, None)
            for vm, vm_exchanger in exchangers.items()
        }
        for vm, other in zip(names, reversed(names), strict=True):
            client = InProcessClient(servers, vm, self.calls, self.unreachable)
            self.loops[vm] = PeerLoop(other, exchangers[vm], client, CODEC, trio.current_time)

    @property
    def initiator(self) -> str:
        """Return the VM that makes the regular calls."""
        return "a" if is_call_initiator("a", "b") else "b"

    @property
    def responder(self) -> str:
        """Return the VM that receives the regular calls."""
        return "b" if self.initiator == "a" else "a"

    def exchanger_of(self, vm: str) -> Exchanger:
        """Return a VM's exchanger."""
        return self.loops[vm].exchanger


class TestCallInitiation:
    """One VM of a pair calls regularly, the other only when it receives no calls."""

    def test_each_vm_initiates_calls_to_about_half_of_its_peers(self) -> None:
        """Guards against pairs without an initiator, and a VM that initiates all calls."""
        names = [f"vm-{n}" for n in range(40)]
        for vm in names:
            others = [name for name in names if name != vm]
            assert all(
                is_call_initiator(vm, other) != is_call_initiator(other, vm) for other in others
            )
            assert 8 <= sum(is_call_initiator(vm, other) for other in others) <= 31

    async def test_one_call_per_second_keeps_both_in_quorum(self, autojump_clock: Any) -> None:
        """Guards against calls by both VMs of a pair, and against a responder without quorum."""
        pair = PeerPair()
        max_call_age_s = 0.0
        async with trio.open_nursery() as nursery:
            for loop in pair.loops.values():
                nursery.start_soon(loop.run)
            await trio.sleep(3.5)
            pair.calls.clear()
            for _ in range(300):
                await trio.sleep(0.1)
                now_s = trio.current_time()
                for vm in pair.loops:
                    pair.exchanger_of(vm).isolation.tick(now_s)
                    assert pair.exchanger_of(vm).quorum.has_quorum(now_s)
                    assert not pair.exchanger_of(vm).isolation.is_isolated(now_s)
                peer_sync = pair.exchanger_of(pair.responder).peer_states[pair.initiator]
                max_call_age_s = max(max_call_age_s, now_s - peer_sync.last_call_s)
            nursery.cancel_scope.cancel()
        assert pair.calls[pair.responder] == 0
        assert 29 <= pair.calls[pair.initiator] <= 31
        assert max_call_age_s < CALL_BACK_AFTER_S

    async def test_responder_calls_when_initiator_does_not(self, autojump_clock: Any) -> None:
        """Guards against loss of quorum because the initiator has not chosen this VM."""
        pair = PeerPair()
        async with trio.open_nursery() as nursery:
            scope = await nursery.start(self.run_in_scope, pair.loops[pair.initiator])
            nursery.start_soon(pair.loops[pair.responder].run)
            await trio.sleep(5)
            scope.cancel()
            pair.calls.clear()
            for _ in range(100):
                await trio.sleep(0.1)
                now_s = trio.current_time()
                assert pair.exchanger_of(pair.responder).quorum.has_quorum(now_s)
                direct_contact_s = (
                    pair.exchanger_of(pair.initiator)
                    .roster.members[pair.responder]
                    .direct_contact_s
                )
                assert now_s - direct_contact_s < QUORUM_CONTACT_TIMEOUT_S
            nursery.cancel_scope.cancel()
        assert 8 <= pair.calls[pair.responder] <= 11

    @staticmethod
    async def run_in_scope(loop: PeerLoop, *, task_status: Any) -> None:
        """Run a loop until the reported scope is cancelled."""
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await loop.run()

    async def test_urgent_change_of_responder_is_sent_at_once(self, autojump_clock: Any) -> None:
        """Guards against a stop or departure that waits for the initiator's next call."""
        pair = PeerPair()
        async with trio.open_nursery() as nursery:
            for loop in pair.loops.values():
                nursery.start_soon(loop.run)
            await trio.sleep(5.3)
            pair.exchanger_of(pair.responder).facts.publish(
                "stop", "v2", VALUE, ttl_ms=60_000, now_s=trio.current_time()
            )
            pair.loops[pair.responder].urgent.set()
            await trio.sleep(0.15)
            facts = pair.exchanger_of(pair.initiator).facts.of_kind("stop", trio.current_time())
            assert [fact.key for fact in facts] == ["v2"]
            nursery.cancel_scope.cancel()

    async def test_lost_connection_ends_quorum_of_both(self, autojump_clock: Any) -> None:
        """Guards against a VM that keeps its quorum while it is unreachable."""
        pair = PeerPair()
        async with trio.open_nursery() as nursery:
            for loop in pair.loops.values():
                nursery.start_soon(loop.run)
            await trio.sleep(5.3)
            pair.unreachable |= set(pair.loops)
            await trio.sleep(QUORUM_CONTACT_TIMEOUT_S + 0.1)
            now_s = trio.current_time()
            assert not any(pair.exchanger_of(vm).quorum.has_quorum(now_s) for vm in pair.loops)
            pair.calls.clear()
            await trio.sleep(10 * HEARTBEAT_S)
            # Neither VM calls more than once per second while the other does not answer.
            assert all(9 <= pair.calls[vm] <= 11 for vm in pair.loops)
            pair.unreachable.clear()
            await trio.sleep(2 * HEARTBEAT_S)
            assert all(
                pair.exchanger_of(vm).quorum.has_quorum(trio.current_time()) for vm in pair.loops
            )
            nursery.cancel_scope.cancel()
