"""Tests for the load estimate of targets."""

from wagtailbay.health import TargetView
from wagtailbay.steer import AttemptOutcome
from wagtailbay.steer.load_estimator import LoadEstimator


class TestLoadEstimator:
    """A request counts as in flight until its end is recorded or its deadline has passed."""

    def test_request_without_reported_end_expires(self) -> None:
        """Guards against a target that looks busy forever after an unreported cancellation.

        A request may be cancelled without a report of its end.
        """
        load_estimator = LoadEstimator()
        load_estimator.record_start("records", "t1", 10.0)
        load_estimator.record_start("records", "t1", 5.0)
        load_estimator.record_finish("records", "t1", 10.0, AttemptOutcome.ANSWERED, 4.0)
        assert load_estimator.loads("records", "t1", TargetView(), 4, 5.5) == (1, 1.0)
        assert load_estimator.loads("records", "t1", TargetView(), 4, 6.1) == (0, 0.0)

    def test_removed_target_is_pruned_after_its_last_request(self) -> None:
        """Guards against memory that grows with each replaced target."""
        load_estimator = LoadEstimator()
        load_estimator.record_start("records", "t1", 10.0)
        load_estimator.prune("records", frozenset())
        assert load_estimator.in_flight("records", "t1", 1.0) == 1
        load_estimator.record_finish("records", "t1", 10.0, AttemptOutcome.ANSWERED, 2.0)
        load_estimator.prune("records", frozenset())
        assert not load_estimator.target_loads
