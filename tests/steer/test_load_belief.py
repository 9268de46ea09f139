"""Test the count of a VM's own requests."""

from wagtailbay.health import TargetView
from wagtailbay.steer import AttemptOutcome
from wagtailbay.steer.belief import LoadBelief


class TestLoadBelief:
    """Own requests count from their start to their end."""

    def test_request_without_a_reported_end_stops_counting(self) -> None:
        """Guards against a target that looks busy for good after a cancelled request."""
        belief = LoadBelief()
        belief.start("records", "t1", 10.0)
        belief.start("records", "t1", 5.0)
        belief.finish("records", "t1", 10.0, AttemptOutcome.ANSWERED, 4.0)
        assert belief.loads("records", "t1", TargetView(), 4, 5.5) == (1, 1.0)
        assert belief.loads("records", "t1", TargetView(), 4, 6.1) == (0, 0.0)

    def test_target_that_is_gone_is_forgotten_after_its_last_request(self) -> None:
        """Guards against a table that grows with every replaced target."""
        belief = LoadBelief()
        belief.start("records", "t1", 10.0)
        belief.forget("records", frozenset())
        assert belief.in_flight("records", "t1", 1.0) == 1
        belief.finish("records", "t1", 10.0, AttemptOutcome.ANSWERED, 2.0)
        belief.forget("records", frozenset())
        assert not belief.records
