"""Tests for the return of requests to the home region."""

from steering_fakes import target

from wagtailbay.steer.eligible import EligibleTarget, Evaluate
from wagtailbay.steer.models import Candidate
from wagtailbay.steer.spillover import SpilloverTracker

HOME = [EligibleTarget(target("t1", slots=10), "a", 10.0, 1_000_000)]


def evaluate_with_load(load: float | None) -> Evaluate:
    """Return an evaluator that gives every target the same load."""
    return lambda eligible: Candidate(
        eligible.target, "a", 0, load, eligible.slots, eligible.weight_ppm
    )


class TestSpilloverTracker:
    """Spillover ends once a fifth of the home region has been spare for 5 seconds."""

    def test_spare_capacity_must_persist(self) -> None:
        """Guards against requests returning to a region that is about to be full again."""
        tracker = SpilloverTracker()
        steps = [(0.0, None), (1.0, 5.0), (4.0, 9.0), (5.0, 8.0), (9.9, 8.0), (10.0, 8.0)]
        spilled = [
            tracker.should_spill(
                "records", [] if load is None else HOME, evaluate_with_load(load), now_s
            )
            for now_s, load in steps
        ]
        assert spilled == [True, True, True, True, True, False]

    def test_busy_home_region_does_not_spill(self) -> None:
        """Guards against requests that spill over while the home region has usable targets."""
        assert not SpilloverTracker().should_spill("records", HOME, evaluate_with_load(50.0), 1.0)
