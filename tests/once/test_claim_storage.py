"""Test encoding, decoding and expiry of stored claims."""

import json

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from wagtailbay.once import ClaimRecord, ClaimState, ClaimSweeper, Outcome
from wagtailbay.once.wire import decode_claim, encode_claim
from wagtailbay_bench.once_history import FakeStore

HEX = st.text("0123456789abcdef", min_size=1, max_size=64)
OUTCOMES = st.builds(
    Outcome.from_body,
    st.integers(200, 599),
    st.lists(st.tuples(st.text(max_size=9), st.text(max_size=9)), max_size=3).map(tuple),
    st.binary(max_size=99),
)
RECORDS = st.builds(
    ClaimRecord, HEX, st.text(max_size=9), st.integers(0), HEX, st.floats(0, 2e9)
) | st.builds(
    ClaimRecord,
    HEX,
    st.text(max_size=9),
    st.integers(0),
    HEX,
    st.floats(0, 2e9),
    st.just(ClaimState.ANSWERED),
    OUTCOMES,
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["state", "outcome", "digest", "x"]), inner, max_size=4),
)


class TestClaimEncoding:
    """Tests of encoding and decoding claims."""

    @settings(derandomize=True, database=None)
    @given(RECORDS)
    def test_round_trip(self, record: ClaimRecord) -> None:
        """Guards against a claim that changes when it is encoded and decoded."""
        assert decode_claim(json.loads(json.dumps(encode_claim(record)))) == Ok(record)

    @settings(derandomize=True, database=None)
    @given(JSON_VALUES)
    def test_invalid_stored_value_is_an_error(self, value: object) -> None:
        """Guards against an exception raised for an invalid stored value.

        Decoding it returns an error instead.
        """
        assert isinstance(decode_claim(value), Err)


class TestClaimSweeper:
    """Tests of deleting expired claims."""

    async def test_only_expired_claims_are_removed(self) -> None:
        """Guards against claims deleted before 24 h have passed, or never deleted.

        Claims are kept for at least 24 h and deleted afterwards. A claim deleted earlier would
        allow its key to run again; one kept forever would let the store grow without limit.
        """
        store = FakeStore(latency_s=0.0)
        for number, age_h in enumerate([1, 23, 24, 26, 100]):
            record = ClaimRecord("d", "vm-1", 1, "m", 1e9 - age_h * 3600)
            store.apply(f"once/unam/{number:02x}aa", encode_claim(record), 0)
        store.apply("once/unam/07aa", {"foreign": True}, 0)
        sweep = ClaimSweeper(store, lambda: ("unam",), lambda: 1e9)
        removed = [await sweep.sweep_shard(1e9) for _ in range(256)]
        assert (sum(removed), max(removed)) == (2, 1)
        assert sorted(store.objects) == [f"once/unam/{n:02x}aa" for n in (0, 1, 2, 7)]

    async def test_claim_renewed_after_listing_is_kept(self) -> None:
        """Guards against the deletion of a claim that was renewed after it was listed."""
        store = FakeStore(latency_s=0.0)
        old = encode_claim(ClaimRecord("d", "vm-1", 1, "m", 0.0, ClaimState.NOT_SENT))
        store.apply("once/unam/00aa", old, 0)
        listed = await store.list(("once/",))
        store.apply("once/unam/00aa", old, listed.ok_value.objects[0].version)
        sweep = ClaimSweeper(store, lambda: (), lambda: 1e9)
        await sweep._delete_claims(list(listed.ok_value.objects), [0])
        await trio.lowlevel.checkpoint()
        assert "once/unam/00aa" in store.objects
