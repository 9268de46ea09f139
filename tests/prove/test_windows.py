"""Test the counting of windows."""

from wagtailbay_bench.prove.checks.windows import Span, fullest_windows


class TestFullestWindows:
    """Only what was decided within a window for certain counts."""

    def test_late_run_does_not_count(self) -> None:
        """Guards against runs that were admitted long before counting as a burst."""
        spans = [Span(float(n), 20.0) for n in range(10)]
        assert dict(fullest_windows(spans))[5.0] == 0.0

    def test_fullest_window(self) -> None:
        """Guards against a window that starts beside the busiest time."""
        spans = [Span(10 + n / 10, 10 + n / 10) for n in range(10)] + [Span(0.0, 0.0)]
        assert dict(fullest_windows(spans))[1.0] == 10.0
