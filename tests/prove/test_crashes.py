"""Test the check of requests that crash their targets on synthetic histories."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.crashes import check_quarantine


class TestQuarantine:
    """A crashing request is refused soon, and other requests keep being served."""

    def test_crashes_within_bound_pass(self) -> None:
        """Guards against a check that rejects the crashes needed to identify the request."""
        builder = HistoryBuilder(crashing_paths={"/crash"})
        for number in range(3):
            builder.add_request(number, "t", path="/crash", status=502)
        builder.add_request(4.0, path="/crash", status=422, code="crashes_targets")
        assert not list(check_quarantine(builder.history))

    def test_too_many_crashes(self) -> None:
        """Guards against a request that keeps crashing targets and is never refused."""
        builder = HistoryBuilder(crashing_paths={"/crash"})
        for number in range(4):
            builder.add_request(number, "t", path="/crash", status=502)
        assert [v.property_id for v in check_quarantine(builder.history)] == ["5.9"]

    def test_unrelated_request_stays_refused(self) -> None:
        """Guards against a harmless request that stays refused long after the last crash."""
        for sent_s, is_violation in ((5.0, False), (20.0, True)):
            builder = HistoryBuilder(crashing_paths={"/crash"})
            builder.add_request(1.0, "t", path="/crash", status=502)
            builder.add_request(sent_s, path="/steady", status=422, code="crashes_targets")
            assert bool(list(check_quarantine(builder.history))) is is_violation
