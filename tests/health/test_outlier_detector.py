"""Test the ejection of targets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailbay.health import FailureSign, OutlierDetector

NAMES = frozenset({"t1", "t2", "t3", "t4"})
SIGN = st.sampled_from(list(FailureSign))


def eject(detector: OutlierDetector, target: str, now_s: float) -> bool:
    """Let connections fail until the target is ejected; returns whether it was."""
    return any(
        detector.record_failure("records", target, FailureSign.CONNECT, NAMES, now_s)
        for _ in range(3)
    )


def assert_one_stays(detector: OutlierDetector, failures: list) -> None:
    """Let targets fail and check that one is left after each failure."""
    for name, sign in failures:
        detector.record_failure("records", name, sign, NAMES, 1.0)
        assert not all(detector.ejected("records", n, 1.0) for n in NAMES)


class TestOutlierDetector:
    """Unfit targets are out for growing terms, and never all of them."""

    def test_terms_double(self) -> None:
        """Guards against a dead target that takes requests every five seconds."""
        detector, now_s, terms = OutlierDetector(), 0.0, []
        for _ in range(6):
            assert eject(detector, "t1", now_s)
            start_s = now_s
            while detector.ejected("records", "t1", now_s):
                now_s += 0.5
            terms.append(now_s - start_s)
        assert terms == [5, 10, 20, 40, 60, 60]

    def test_success_starts_the_count_anew(self) -> None:
        """Guards against ejection for failures that are not consecutive."""
        detector = OutlierDetector()
        for _ in range(10):
            for _ in range(2):
                detector.record_failure("records", "t1", FailureSign.TIMEOUT, NAMES, 1.0)
            detector.record_success("records", "t1")
        assert not detector.ejected("records", "t1", 1.0)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(sorted(NAMES)), SIGN), max_size=120))
    def test_last_target_stays(self, failures: list) -> None:
        """Guards against a service without any target."""
        assert_one_stays(OutlierDetector(), failures)

    def test_last_target_goes_without_the_rule(self) -> None:
        """Shows that the check above depends on the rule."""
        every = [(name, FailureSign.CONNECT) for name in sorted(NAMES) for _ in range(3)]
        assert_one_stays(OutlierDetector(), every)
        with pytest.raises(AssertionError):
            assert_one_stays(OutlierDetector(keep_one=False), every)

    def test_sheds_take_out_half_at_most(self) -> None:
        """Guards against an overload that is pushed onto ever fewer targets."""
        detector = OutlierDetector()
        for name in sorted(NAMES):
            for _ in range(20):
                detector.record_failure("records", name, FailureSign.SHED, NAMES, 1.0)
        assert sum(detector.ejected("records", name, 1.0) for name in NAMES) == 2
