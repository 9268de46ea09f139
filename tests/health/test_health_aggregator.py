"""Test the aggregation of reports from several probers."""

from typing import Any

import pytest

from wagtailbay.health import HealthAggregator, ReportedLoad, TargetReport, TargetState
from wagtailbay.health.const import LOAD_HALF_LIFE_S, REPORT_TTL_MS, TARGET_REPORT_KIND
from wagtailbay.membership import Fact, FactTable

OK, DRAINING, FAILED = TargetState.OK, TargetState.DRAINING, TargetState.FAILED


def make_aggregator(*reports: tuple[float, Any], decay: bool = True) -> HealthAggregator:
    """Create an aggregator from pairs of time and report, each report from a different VM."""
    table = FactTable("vm-0", 1)
    for number, (reported_s, value) in enumerate(reports):
        expires_s = reported_s + REPORT_TTL_MS / 1000
        fact = Fact(f"vm-{number + 1}", 1, TARGET_REPORT_KIND, "records/t1", 1, value, expires_s)
        table.merge([fact])
    return HealthAggregator(table, decay)


def report(state: TargetState, in_flight: float = 4.0) -> TargetReport:
    """Return a report of the test target."""
    return TargetReport("records", "t1", state, ReportedLoad(in_flight, 4))


class TestHealthAggregator:
    """Tests of aggregating fresh reports."""

    @pytest.mark.parametrize(
        ("states", "expected"),
        [
            ((OK, FAILED), OK),
            ((FAILED, FAILED), FAILED),
            ((OK, DRAINING), DRAINING),
            ((FAILED, DRAINING), DRAINING),
            ((), None),
        ],
    )
    def test_states_are_combined(self, states: tuple[TargetState, ...], expected: Any) -> None:
        """Guards against a partitioned prober failing a target, or a drain that applies late.

        One prober can't fail a target alone, and a drain applies at once.
        """
        health = make_aggregator(*((100.0, report(state)) for state in states))
        assert health.view("records", "t1", 100.5).state is expected

    def test_expired_report_is_ignored(self) -> None:
        """Guards against an expired report that still sets the state of a target."""
        health = make_aggregator((100.0, report(FAILED)))
        assert health.view("records", "t1", 104.1).state is None

    def test_load_decays_with_age(self) -> None:
        """Guards against an old reported load that outweighs local counts.

        The check fails without the decay.
        """
        two_half_lives_later_s = 100.0 + 2 * LOAD_HALF_LIFE_S

        def check(decay: bool) -> None:
            view = make_aggregator((100.0, report(OK)), decay=decay).view(
                "records", "t1", two_half_lives_later_s
            )
            assert view.in_flight == pytest.approx(1.0)

        check(decay=True)
        with pytest.raises(AssertionError):
            check(decay=False)

    def test_malformed_facts_are_ignored(self) -> None:
        """Guards against an exception or wrong state caused by facts of the wrong type.

        Such facts are ignored.
        """
        values = (None, 3, "x", TargetReport([], {}, OK), TargetReport("records", "t1", "ok"))
        health = make_aggregator(*((100.0, value) for value in values), (100.0, report(OK)))
        assert health.view("records", "t1", 100.5).state is OK
