"""Count what happened within windows of time."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence

from attrs import frozen

from wagtailbay_bench.prove.checks.const import WINDOWS_S


@frozen
class Span:
    """Hold the times between which something was decided, and how much it counts."""

    from_s: float
    until_s: float
    amount: float = 1.0


def fullest_windows(spans: Sequence[Span]) -> Iterator[tuple[float, float]]:
    """Yield each window length with the most that was decided for certain in one such window."""
    ordered = sorted(spans, key=lambda span: span.from_s)
    starts = [span.from_s for span in ordered]
    for window_s in WINDOWS_S:
        most = 0.0
        for first, start_s in enumerate(starts):
            last = bisect_left(starts, start_s + window_s)
            inside = ordered[first:last]
            amount = sum(span.amount for span in inside if span.until_s <= start_s + window_s)
            most = max(most, amount)
        yield window_s, most
