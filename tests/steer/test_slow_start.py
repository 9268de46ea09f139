"""Tests for the slow start of recovered targets."""

import pytest

from wagtailbay.steer import SlowStart


class TestSlowStart:
    """A recovered target starts with a tenth of its share."""

    def test_share_rises_ten_points_per_second(self) -> None:
        """Guards against cold targets that get their full share.

        The check fails without slow start.
        """

        def check(enabled: bool) -> None:
            start = SlowStart(enabled)
            start.observe("records", {"t1": True, "t2": False}, 10.0)
            assert start.factor("records", "t1", 10.0) == 1.0
            start.observe("records", {"t1": True, "t2": True, "t3": True}, 20.0)
            assert start.factor("records", "t1", 20.0) == 1.0
            for name in ("t2", "t3"):
                shares = [start.factor("records", name, 20.0 + s) for s in (0, 1, 5, 9, 30)]
                assert shares == pytest.approx([0.1, 0.2, 0.6, 1.0, 1.0])

        check(enabled=True)
        with pytest.raises(AssertionError):
            check(enabled=False)

    def test_failure_restarts_slow_start(self) -> None:
        """Guards against a flapping target that is considered warm."""
        start = SlowStart()
        for now_s, usable in ((0.0, True), (1.0, False), (2.0, True), (8.0, False), (9.0, True)):
            start.observe("records", {"t1": usable}, now_s)
        assert start.factor("records", "t1", 9.0) == pytest.approx(0.1)
