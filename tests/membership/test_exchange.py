"""Tests for the state of VMs after they exchange messages."""

from hypothesis import given
from hypothesis import strategies as st
from membership.factories import CODEC, VALUE, call, exchanger
from result import Err

from wagtailbay.membership import FleetLayout, VmState
from wagtailbay.membership.generated import peer_pb2
from wagtailbay.membership.wire import decode_exchange, encode_exchange
from wagtailbay.store import StoredObject


class TestObjectReplication:
    """Objects reach the VM that lacks them, and no replica claims a revision that it lacks."""

    def test_call_transfers_objects_in_both_directions(self) -> None:
        """Guards against objects that are transferred only from caller to callee or back."""
        a, b = exchanger("a"), exchanger("b")
        a.replica.apply([StoredObject("keys/1", 3, {"workspace": "w"})], 5)
        call(b, a, 1.0)
        assert (b.replica.revision, b.replica.value("keys/1")) == (5, {"workspace": "w"})
        a.replica.apply([StoredObject("keys/1", 6, None)], 6)
        call(a, b, 2.0)
        assert b.replica.value("keys/1") is None

    def test_restarted_peer_receives_all_objects(self) -> None:
        """Guards against a delta based on the revision of the peer's earlier incarnation."""
        a, b = exchanger("a"), exchanger("b")
        a.replica.apply([StoredObject("documents/fleet", 1, {}), StoredObject("keys/1", 2, {})], 2)
        call(a, b, 1.0)
        again = exchanger("b", incarnation=2)
        call(a, again, 2.0)
        call(a, again, 3.0)
        assert set(again.replica.objects) == {"documents/fleet", "keys/1"}

    def test_deletion_older_than_peer_listing_is_applied(self) -> None:
        """Guards against a deleted key that stays valid on a VM whose peers only listed the store.

        Such a peer has no record of the deletion, so it must send a full snapshot.
        """
        lagging, listed = exchanger("a"), exchanger("b")
        lagging.replica.apply([StoredObject("keys/1", 1, {"workspace": "w"})], 1)
        listed.replica.replace([StoredObject("documents/fleet", 2, {})], 4)
        call(lagging, listed, 1.0)
        assert lagging.replica.value("keys/1") is None
        assert lagging.replica.revision == 4

    def test_lagging_peer_does_not_revert_objects(self) -> None:
        """Guards against an old object that replaces a newer one or reappears after deletion."""
        new, old = exchanger("a"), exchanger("b")
        new.replica.apply([StoredObject("documents/fleet", 9, {"n": 9})], 9)
        old.replica.apply([StoredObject("documents/fleet", 2, {"n": 2})], 2)
        old.replica.apply([StoredObject("keys/deleted", 3, {"workspace": "w"})], 3)
        call(old, new, 1.0)
        assert new.replica.value("documents/fleet") == old.replica.value("documents/fleet")
        assert new.replica.value("documents/fleet") == {"n": 9}
        assert new.replica.value("keys/deleted") is None

    def test_delta_with_gap_does_not_advance_revision(self) -> None:
        """Guards against a replica that claims a revision whose changes it never received."""
        a, b = exchanger("a"), exchanger("b")
        a.replica.apply([StoredObject("keys/1", 1, {}), StoredObject("keys/2", 8, {})], 8)
        a.build_message("b", 1.0)
        a.peer_states["b"].revision = 5
        b.apply_message(a.build_message("b", 1.0), 1.0)
        assert (b.replica.revision, set(b.replica.objects)) == (0, {"keys/2"})

    def test_large_replica_is_sent_in_several_messages(self) -> None:
        """Guards against oversized messages, and truncated batches that count as complete."""
        a, b = exchanger("a"), exchanger("b")
        for version in range(1, 6):
            a.replica.apply([StoredObject(f"documents/{version}", version, "x" * 900_000)], version)
        call(a, b, 1.0)
        assert b.replica.revision < 5
        for now_s in range(2, 8):
            call(a, b, float(now_s))
        assert (b.replica.revision, len(b.replica.objects)) == (5, 5)


class TestConfirmedAge:
    """An answer to a VM's own call confirms its state; a call without an echo does not."""

    def test_answer_confirms_age_reported_by_peer(self) -> None:
        """Guards against a replica that counts as fresher than the one it was copied from."""
        a, b = exchanger("a"), exchanger("b")
        a.freshness.confirm(8.0)
        call(b, a, 10.0)
        assert 2_000 <= b.freshness.age_ms(10.0) <= 2_010

    def test_incoming_call_confirms_nothing(self) -> None:
        """Guards against counting a call as recent that waited while this process was stopped."""
        a, b = exchanger("a"), exchanger("b")
        a.freshness.confirm(10.0)
        b.apply_message(a.build_message("b", 10.0), 70.0)
        assert b.freshness.age_ms(70.0) is None
        assert not b.quorum.answering_peers(70.0)
        assert b.isolation.is_isolated(70.0)

    def test_answer_leaving_replica_behind_confirms_nothing(self) -> None:
        """Guards against a VM that counts a peer for the quorum while it is behind that peer."""
        a, b = exchanger("a"), exchanger("b")
        a.freshness.confirm(10.0)
        a.replica.apply([StoredObject("keys/1", 1, "x" * 900_000)], 1)
        a.replica.apply([StoredObject("keys/2", 2, "x" * 900_000)], 2)
        call(b, a, 10.0)
        assert b.replica.revision == 1
        assert b.freshness.age_ms(10.0) is None
        assert not b.quorum.answering_peers(10.0)


class TestFactsAndMembers:
    """Facts and members are sent once, and older incarnations are rejected."""

    def test_only_new_facts_are_sent(self) -> None:
        """Guards against messages that contain every fact ever published."""
        a, b = exchanger("a"), exchanger("b")
        a.facts.publish("demand", "x", VALUE, ttl_ms=60_000, now_s=0.0)
        call(a, b, 1.0)
        assert [fact.key for fact in b.facts.of_kind("demand", 1.0)] == ["x"]
        assert not a.build_message("b", 2.0).facts.facts
        a.facts.publish("demand", "y", VALUE, ttl_ms=60_000, now_s=2.0)
        assert [fact.key for fact in a.build_message("b", 2.0).facts.facts] == ["y"]

    def test_facts_are_resent_after_lost_answer(self) -> None:
        """Guards against a stop fact that is lost with a single message."""
        a, b = exchanger("a"), exchanger("b")
        b.facts.publish("stop", "v2", VALUE, ttl_ms=60_000, now_s=0.0)
        call(a, b, 1.0, lose_answer=True)
        call(a, b, 2.0)
        assert [fact.vm for fact in a.facts.of_kind("stop", 2.0)] == ["b"]

    def test_stops_are_relayed_and_demand_is_not(self) -> None:
        """Guards against a stop fact that gets no further than the publisher's neighbours."""
        a, b, c = exchanger("a"), exchanger("b"), exchanger("c")
        for kind in ("stop", "demand"):
            a.facts.publish(kind, "x", VALUE, ttl_ms=60_000, now_s=0.0)
        call(a, b, 1.0)
        call(b, c, 2.0)
        assert [fact.kind for fact in c.facts.facts.values()] == ["stop"]

    def test_restarted_vm_applies_stop_of_earlier_incarnation(self) -> None:
        """Guards against a VM that sends traffic to a bad version again after its own restart.

        The VM published the stop itself, in its earlier incarnation.
        """
        a, b = exchanger("a"), exchanger("b")
        a.facts.publish("stop", "v2", VALUE, ttl_ms=60_000, now_s=0.0)
        call(a, b, 1.0)
        again = exchanger("a", incarnation=2)
        call(again, b, 2.0)
        assert [fact.key for fact in again.facts.of_kind("stop", 2.0)] == ["v2"]

    def test_message_from_older_incarnation_is_rejected(self) -> None:
        """Guards against an old process that is still running and overrides its successor."""
        old, new, b = exchanger("a"), exchanger("a", incarnation=2), exchanger("b")
        assert call(new, b, 1.0)
        assert not call(old, b, 2.0)
        assert b.roster.members["a"].identity.incarnation == 2

    def test_member_state_reaches_indirect_peers(self) -> None:
        """Guards against a leaving VM that stays in the answers of VMs it has no contact with."""
        a, b, c = exchanger("a"), exchanger("b"), exchanger("c")
        call(a, b, 1.0)
        call(b, c, 1.0)
        a.roster.announce(VmState.LEAVING)
        call(a, b, 2.0)
        call(b, c, 2.0)
        assert c.roster.members["a"].state is VmState.LEAVING


class TestMalformedMessages:
    """Malformed messages from the network raise no exception."""

    @given(st.binary(max_size=200), st.integers(0, 500), st.integers(0, 255))
    def test_damaged_bytes_give_an_error_value(self, noise: bytes, place: int, byte: int) -> None:
        """Guards against a message that crashes the process."""
        a = exchanger("a")
        a.facts.publish("stop", "v2", VALUE, ttl_ms=60_000, now_s=0.0)
        a.replica.apply([StoredObject("keys/1", 1, {"workspace": "w"})], 1)
        good = bytearray(encode_exchange(a.build_message("b", 1.0), CODEC, 1.0))
        good[place % len(good)] = byte
        for data in (noise, bytes(good)):
            decoded = decode_exchange(data, CODEC, 1.0)
            if not isinstance(decoded, Err):
                exchanger("b").apply_message(decoded.ok_value, 1.0)

    def test_unknown_or_malformed_fact_does_not_discard_message(self) -> None:
        """Guards against a fact from a newer release that invalidates the whole message."""
        a, b = exchanger("a"), exchanger("b")
        a.facts.publish("new_kind", "x", VALUE, ttl_ms=60_000, now_s=0.0)
        a.facts.publish("stop", "v2", VALUE, ttl_ms=60_000, now_s=0.0)
        CODEC.classes["new_kind"] = type(VALUE)
        data = encode_exchange(a.build_message("b", 1.0), CODEC, 1.0)
        del CODEC.classes["new_kind"]
        message = decode_exchange(data, CODEC, 1.0).ok_value
        b.apply_message(message, 1.0)
        assert [fact.kind for fact in b.facts.facts.values()] == ["stop"]
        for malformed in (b'{"revision":{}}', b"[]", b"NaN", b"\xff", b"[" * 100_000):
            assert CODEC.decode("stop", malformed).is_err()

    def test_malformed_object_does_not_discard_message(self) -> None:
        """Guards against one object that keeps two VMs from exchanging anything."""
        a, b = exchanger("a"), exchanger("b")
        a.replica.apply(
            [
                StoredObject("keys/1", 1, {"workspace": "w"}),
                StoredObject("keys/2", 2, {"workspace": "\ud800"}),
                StoredObject("keys/3", 3, {"workspace": "w"}),
            ],
            3,
        )
        data = encode_exchange(a.build_message("b", 1.0, is_answer=True), CODEC, 1.0)
        encoded = peer_pb2.ExchangeMessage.FromString(data)
        encoded.batch.entries.add(key="keys/4", version=4, value=b"{")
        encoded.batch.entries.add(key="keys/5", version=5, value=b"[" * 5_000 + b"]" * 5_000)
        encoded.members.add(vm="c", incarnation=1, state="unknown")
        message = decode_exchange(encoded.SerializeToString(), CODEC, 1.0).ok_value
        b.apply_message(message, 1.0)
        assert {"keys/1", "keys/3"} <= set(b.replica.objects)
        assert "keys/4" not in b.replica.objects
        assert "c" not in b.roster.members


class TestRegionalFacts:
    """Facts that concern one region stay there."""

    def test_other_regions_get_no_regional_facts(self) -> None:
        """Guards against bytes between regions for counts that only one region uses."""
        a, near, far = exchanger("a"), exchanger("b"), exchanger("c")
        a.is_same_region = lambda vm: vm == "b"
        CODEC.classes["occupancy"] = type(VALUE)
        for kind in ("occupancy", "stop"):
            a.facts.publish(kind, "x", VALUE, ttl_ms=60_000, now_s=0.0)
        for peer, kinds in ((near, {"occupancy", "stop"}), (far, {"stop"})):
            call(a, peer, 1.0)
            assert {fact.kind for fact in peer.facts.facts.values()} == kinds
        del CODEC.classes["occupancy"]


class TestDelegateFacts:
    """Facts for delegates reach a VM that becomes one."""

    def test_new_delegate_gets_the_facts_that_it_was_not_sent_before(self) -> None:
        """Guards against facts that count as acknowledged although they were not sent."""
        a, b = exchanger("a"), exchanger("b")
        cells = {"x": ("a", "b"), "y": ("c",)}
        a.layout = FleetLayout(cells, {"x": ("a",), "y": ("c",)})
        a.facts.publish("usage", "7/run", VALUE, ttl_ms=60_000, now_s=0.0)
        assert call(a, b, 1.0)
        assert call(b, a, 1.5)
        assert not list(b.facts.of_kind("usage", 1.5))
        on_its_way = b.build_message("a", 1.6)
        a.layout = FleetLayout(cells, {"x": ("a", "b"), "y": ("c",)})
        lost = a.build_message("b", 2.0)
        assert [fact.kind for fact in lost.facts.facts] == ["usage"]
        a.apply_message(on_its_way, 2.1)
        b.apply_message(a.build_message("b", 2.2), 2.2)
        assert list(b.facts.of_kind("usage", 2.2))
