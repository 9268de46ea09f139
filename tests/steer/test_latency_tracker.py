"""Tests for the detection of slow targets."""

import pytest

from wagtailbay.steer.latency import LatencyTracker


def make_tracker(slow_ms: float, samples: int = 10) -> LatencyTracker:
    """Return a tracker with nine targets that respond in 10 ms and t0, which takes slow_ms."""
    tracker = LatencyTracker()
    for number in range(samples * 10):
        name = f"t{number % 10}"
        tracker.record("records", name, slow_ms if name == "t0" else 10.0, 1.0)
    return tracker


class TestLatencyTracker:
    """Targets are slow by their measured latency, not by their reports."""

    def test_detects_only_the_slow_target(self) -> None:
        """Guards against an undetected slow target, or effects on targets of normal latency.

        The slow target is detected, and targets of normal latency are not affected.
        """
        tracker = make_tracker(100.0)
        assert tracker.slowness("records", "t0", 1.0) > 3.0
        assert tracker.slowness("records", "t1", 1.0) == 1.0

    def test_small_differences_and_few_samples_are_ignored(self) -> None:
        """Guards against random variation that makes one of several equal targets slow."""
        assert make_tracker(15.0).slowness("records", "t0", 1.0) == 1.0
        assert make_tracker(100.0, samples=2).slowness("records", "t0", 1.0) == 1.0

    def test_slowness_expires(self) -> None:
        """Guards against a slow target without new samples that is never tried again.

        It must be tried again, as it may have recovered.
        """
        assert make_tracker(100.0).slowness("records", "t0", 60.0) == 1.0

    def test_removed_targets_are_pruned(self) -> None:
        """Guards against memory that grows with each replaced target."""
        tracker = make_tracker(100.0)
        tracker.prune("records", frozenset({"t1"}))
        assert set(tracker.targets) == {("records", "t1")}

    def test_slowness_is_bounded(self) -> None:
        """Guards against one extremely slow response that outweighs any load."""
        assert make_tracker(1e9).slowness("records", "t0", 1.0) == pytest.approx(10.0, abs=1.0)
