"""Test the count of a VM's own requests."""

from wagtailbay.health import TargetView
from wagtailbay.steer import AttemptOutcome
from wagtailbay.steer.load_estimator import LoadEstimator


class TestLoadEstimator:
    """Own requests count from their start to their end."""

    def test_request_without_reported_end_expires(self) -> None:
        """Guards against a target that looks busy for good after a cancelled request."""
        load_estimator = LoadEstimator()
        load_estimator.start("records", "t1", 10.0)
        load_estimator.start("records", "t1", 5.0)
        load_estimator.finish("records", "t1", 10.0, AttemptOutcome.ANSWERED, 4.0)
        assert load_estimator.loads("records", "t1", TargetView(), 4, 5.5) == (1, 1.0)
        assert load_estimator.loads("records", "t1", TargetView(), 4, 6.1) == (0, 0.0)

    def test_removed_target_is_pruned_after_its_last_request(self) -> None:
        """Guards against a table that grows with every replaced target."""
        load_estimator = LoadEstimator()
        load_estimator.start("records", "t1", 10.0)
        load_estimator.prune("records", frozenset())
        assert load_estimator.in_flight("records", "t1", 1.0) == 1
        load_estimator.finish("records", "t1", 10.0, AttemptOutcome.ANSWERED, 2.0)
        load_estimator.prune("records", frozenset())
        assert not load_estimator.records
