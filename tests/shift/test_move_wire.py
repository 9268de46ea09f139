"""Tests of the JSON encoding of moves and facts."""

import json

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from steering_fakes import PLAN

from wagtailbay.shift.models import Counts, Evidence, Stop, VersionCounts
from wagtailbay.shift.plan import begin_move
from wagtailbay.shift.wire import (
    decode_evidence,
    decode_move,
    decode_stop,
    encode_evidence,
    encode_move,
    encode_stop,
    is_valid_evidence,
)

STATE = evolve(begin_move(PLAN, 1000.0), step=2, holder="vm-1/5", mark="ab", reason="x")
ENCODED = json.dumps(encode_move(STATE))
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)


class TestMoveWire:
    """Test that objects and facts round-trip and malformed ones decode to error values."""

    def test_move_round_trips(self) -> None:
        """Guards against another lease holder that decodes a different move."""
        assert decode_move(json.loads(ENCODED)) == Ok(STATE)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.sampled_from(sorted(json.loads(ENCODED))), JSON_VALUES)
    def test_any_value_decodes_to_a_result(self, name: str, value: object) -> None:
        """Guards against a malformed value that raises in a decoder."""
        assert isinstance(decode_move(json.loads(ENCODED) | {name: value}), Ok | Err)
        for decode in (decode_move, decode_evidence, decode_stop):
            assert isinstance(decode(value), Ok | Err)

    @pytest.mark.parametrize(
        "changes",
        [
            {"step": 6},
            {"step": -2},
            {"generation": 0},
            {"step_unix_s": float("nan")},
            {"plan": json.loads(ENCODED)["plan"] | {"max_step_ppm": 1000}},
            {"plan": json.loads(ENCODED)["plan"] | {"steps": []}},
        ],
    )
    def test_inconsistent_move_is_rejected(self, changes: dict) -> None:
        """Guards against accepting a move with impossible steps, times or generation."""
        assert isinstance(decode_move(json.loads(ENCODED) | changes), Err)

    def test_facts_round_trip(self) -> None:
        """Guards against evidence and stops that change in encoding and decoding."""
        counts = Counts(5, 1, (0, 3, *(0,) * 29, 1))
        evidence = Evidence("records", "m", "read", VersionCounts(counts, Counts()))
        assert decode_evidence(json.loads(json.dumps(encode_evidence(evidence)))) == Ok(evidence)
        stop = Stop("records", "m", "v2", "fails")
        assert decode_stop(json.loads(json.dumps(encode_stop(stop)))) == Ok(stop)

    def test_invalid_evidence_is_rejected(self) -> None:
        """Guards against evidence with wrong types or counts that reaches the judge."""
        for counts in (None, Counts(1, 0, ()), Counts("1", 0), Counts(-1, 0), Counts(2**60, 0)):
            assert not is_valid_evidence(
                Evidence("records", "m", "read", VersionCounts(Counts(), counts))
            )
        assert not is_valid_evidence(Evidence("records", "m", [], VersionCounts()))
