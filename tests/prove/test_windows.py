"""Test the maximum amounts over sliding windows."""

from wagtailbay_bench.prove.checks.windows import DecisionInterval, max_amount_per_window


class TestMaxAmountPerWindow:
    """Only intervals that lie in a window as a whole count for it."""

    def test_interval_past_window_does_not_count(self) -> None:
        """Guards against counting late runs as a burst although they were admitted earlier."""
        spans = [DecisionInterval(float(n), 20.0) for n in range(10)]
        assert dict(max_amount_per_window(spans))[5.0] == 0.0

    def test_busiest_window(self) -> None:
        """Guards against windows that miss the busiest period."""
        spans = [DecisionInterval(10 + n / 10, 10 + n / 10) for n in range(10)] + [
            DecisionInterval(0.0, 0.0)
        ]
        assert dict(max_amount_per_window(spans))[1.0] == 10.0
