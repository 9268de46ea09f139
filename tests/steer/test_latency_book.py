"""Test which targets count as slow."""

import pytest

from wagtailbay.steer.latency import LatencyBook


def book(slow_ms: float, answers: int = 10) -> LatencyBook:
    """Record answers of nine targets in 10 ms and of one in slow_ms."""
    made = LatencyBook()
    for number in range(answers * 10):
        name = f"t{number % 10}"
        made.record("records", name, slow_ms if name == "t0" else 10.0, 1.0)
    return made


class TestLatencyBook:
    """A target is slow if its answers are, whatever it reports."""

    def test_slow_target_is_found_and_others_are_not(self) -> None:
        """Guards against a slow target that counts as fast, and the other way round."""
        made = book(100.0)
        assert made.slowness("records", "t0", 1.0) > 3.0
        assert made.slowness("records", "t1", 1.0) == 1.0

    def test_scatter_and_few_answers_tell_nothing(self) -> None:
        """Guards against equal targets that are shunned by chance."""
        assert book(15.0).slowness("records", "t0", 1.0) == 1.0
        assert book(100.0, answers=2).slowness("records", "t0", 1.0) == 1.0

    def test_slow_target_is_tried_again_later(self) -> None:
        """Guards against a target that recovered and is never asked again."""
        assert book(100.0).slowness("records", "t0", 60.0) == 1.0

    def test_removed_targets_are_forgotten(self) -> None:
        """Guards against memory that grows with each replaced target."""
        made = book(100.0)
        made.forget("records", frozenset({"t1"}))
        assert set(made.targets) == {("records", "t1")}

    def test_slowness_is_bounded(self) -> None:
        """Guards against one endless answer that outweighs every load."""
        assert book(1e9).slowness("records", "t0", 1.0) == pytest.approx(10.0, abs=1.0)
