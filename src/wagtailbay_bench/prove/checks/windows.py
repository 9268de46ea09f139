"""Maximum amounts over sliding time windows."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence

from attrs import frozen

from wagtailbay_bench.prove.checks.const import WINDOW_LENGTHS_S


@frozen
class DecisionInterval:
    """Interval in which a decision was made at an unknown time, and the amount it counts for."""

    earliest_s: float
    latest_s: float
    amount: float = 1.0


def max_amount_per_window(intervals: Sequence[DecisionInterval]) -> Iterator[tuple[float, float]]:
    """Yield each window length with the largest amount certainly decided in one such window.

    An interval counts only if it lies in the window as a whole.
    """
    ordered = sorted(intervals, key=lambda interval: interval.earliest_s)
    starts = [interval.earliest_s for interval in ordered]
    for window_s in WINDOW_LENGTHS_S:
        max_amount = 0.0
        for first, start_s in enumerate(starts):
            last = bisect_left(starts, start_s + window_s)
            candidates = ordered[first:last]
            amount = sum(
                interval.amount
                for interval in candidates
                if interval.latest_s <= start_s + window_s
            )
            max_amount = max(max_amount, amount)
        yield window_s, max_amount
