"""Test the decoders of probe responses and reports."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from wagtailbay.health.models import ReportedLoad, TargetReport, TargetState
from wagtailbay.health.wire import decode_health, decode_load, decode_report, encode_report
from wagtailbay.transport import Response

JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries({}, optional={"state": JSON, "in_flight": JSON, "slots": JSON})


class TestProbeDecoders:
    """Tests of malformed and invalid input."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.binary(max_size=64) | (JSON | FIELDS).map(lambda v: json.dumps(v).encode()))
    def test_arbitrary_body_returns_a_result(self, body: bytes) -> None:
        """Guards against an exception raised for an arbitrary response body."""
        response = Response(200, (), body)
        assert isinstance(decode_health(response), Ok | Err)
        match decode_load(response):
            case Ok(load):
                assert 0 <= load.in_flight <= 1e6
                assert load.slots >= 1

    @pytest.mark.parametrize(
        "body",
        [
            b"[" * 10_000,
            b'{"in_flight": ' + b"9" * 400 + b', "slots": 3}',
            b'{"in_flight": 1e999, "slots": 3}',
            b'{"in_flight": 1, "slots": ' + b"9" * 5_000 + b"}",
            b'{"in_flight": NaN, "slots": 3}',
            b'{"in_flight": -1, "slots": 3}',
            b'{"in_flight": 1e300, "slots": 3}',
            b'{"in_flight": true, "slots": 3}',
            b'{"in_flight": 1, "slots": 0}',
            b'{"in_flight": 1}' + b" " * 20_000,
        ],
    )
    def test_invalid_load_is_an_error(self, body: bytes) -> None:
        """Guards against accepted load values that would distort target selection.

        Such values are rejected.
        """
        assert isinstance(decode_load(Response(200, (), body)), Err)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(JSON)
    def test_arbitrary_report_value_returns_a_result(self, value: object) -> None:
        """Guards against an exception raised for a malformed report."""
        assert isinstance(decode_report(value), Ok | Err)

    def test_report_round_trip(self) -> None:
        """Guards against a report that changes when it is encoded and decoded."""
        for load in (None, ReportedLoad(3.0, 6)):
            report = TargetReport("records", "t1", TargetState.DRAINING, load)
            assert decode_report(json.loads(json.dumps(encode_report(report)))) == Ok(report)
