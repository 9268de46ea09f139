"""Test the ejection of failing targets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailbay.health import FailureReason, OutlierDetector

NAMES = frozenset({"t1", "t2", "t3", "t4"})
FAILURE_REASONS = st.sampled_from(list(FailureReason))


def fail_until_ejected(detector: OutlierDetector, target: str, now_s: float) -> bool:
    """Record connection failures until the target is ejected; return whether it was."""
    return any(
        detector.record_failure("records", target, FailureReason.CONNECT, NAMES, now_s)
        for _ in range(3)
    )


def assert_one_target_remains(detector: OutlierDetector, failures: list) -> None:
    """Record failures and check that a target remains after each of them."""
    for name, reason in failures:
        detector.record_failure("records", name, reason, NAMES, 1.0)
        assert not all(detector.is_ejected("records", n, 1.0) for n in NAMES)


class TestOutlierDetector:
    """Tests of temporary ejections and their limits."""

    def test_ejection_time_doubles(self) -> None:
        """Guards against a failed target that receives requests again every five seconds."""
        detector, now_s, durations_s = OutlierDetector(), 0.0, []
        for _ in range(6):
            assert fail_until_ejected(detector, "t1", now_s)
            start_s = now_s
            while detector.is_ejected("records", "t1", now_s):
                now_s += 0.5
            durations_s.append(now_s - start_s)
        assert durations_s == [5, 10, 20, 40, 60, 60]

    def test_success_resets_failure_count(self) -> None:
        """Guards against the ejection of a target for failures that are not consecutive."""
        detector = OutlierDetector()
        for _ in range(10):
            for _ in range(2):
                detector.record_failure("records", "t1", FailureReason.TIMEOUT, NAMES, 1.0)
            detector.record_success("records", "t1")
        assert not detector.is_ejected("records", "t1", 1.0)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(sorted(NAMES)), FAILURE_REASONS), max_size=120))
    def test_last_target_is_never_ejected(self, failures: list) -> None:
        """Guards against a service left without any target because all are ejected.

        A service always keeps at least one target.
        """
        assert_one_target_remains(OutlierDetector(), failures)

    def test_all_targets_are_ejected_without_limit(self) -> None:
        """Guards against a check for a remaining target that passes without the limit.

        The check of the previous test fails without the limit on ejections.
        """
        all_failures = [(name, FailureReason.CONNECT) for name in sorted(NAMES) for _ in range(3)]
        assert_one_target_remains(OutlierDetector(), all_failures)
        with pytest.raises(AssertionError):
            assert_one_target_remains(OutlierDetector(limit_ejections=False), all_failures)

    def test_sheds_eject_at_most_half(self) -> None:
        """Guards against an overload concentrated on fewer and fewer targets by ejections."""
        detector = OutlierDetector()
        for name in sorted(NAMES):
            for _ in range(20):
                detector.record_failure("records", name, FailureReason.SHED, NAMES, 1.0)
        assert sum(detector.is_ejected("records", name, 1.0) for name in NAMES) == 2
