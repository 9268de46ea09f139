"""Work out the figures of one run from what callers and targets saw."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from attrs import fields, frozen
from hdrh.histogram import HdrHistogram

from wagtailbay_bench.load import LoadReport, Sample
from wagtailbay_bench.load.const import HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS


@frozen
class Figures:
    """Hold the figures of one variant in one scenario.

    Attributes:
        least_headroom_pct: 100 less the highest use of a region in any second, in % of its
            capacity.
        drain_s: From the drain's start to the last run on a drained target, None without a drain.
        new_version_pct: Share of the moved service's runs that went to the new version, in %.
        move: State of the move at the end, empty without one.
    """

    scenario: str
    variant: str
    sent: int
    answered_pct: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    worst_workspace_pct: float
    refused_within_rate: int
    least_headroom_pct: float
    new_version_pct: float
    drain_s: float | None
    deposits_twice: int
    deposits_lost: int
    move: str

    def line(self) -> str:
        """Return the figures as one line of key=value pairs."""
        return " ".join(f"{a.name}={self._text(a.name)}" for a in fields(Figures))

    def _text(self, name: str) -> str:
        value = getattr(self, name)
        if isinstance(value, float):
            return f"{value:.2f}"
        return "-" if value in (None, "") else str(value)


def answered_latencies(samples: Sequence[Sample]) -> HdrHistogram:
    """Return the latencies of all answered requests in microseconds."""
    histogram = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
    for sample in samples:
        if sample.answered:
            histogram.record_value(max(1, round(sample.latency_ms * 1000)))
    return histogram


def least_headroom_pct(
    runs: Sequence[Mapping[str, Any]],
    places: Mapping[str, tuple[str, str]],
    capacity_per_s: Mapping[tuple[str, str], float],
) -> float:
    """Return the least headroom of any service and region in any second.

    Args:
        places: Service and region of each target.
        capacity_per_s: Documented capacity of each service and region.
    """
    used: Counter = Counter()
    for run in runs:
        used[(*places[run["target"]], int(run["unix_s"]))] += 1
    parts = (count / capacity_per_s[key[:2]] for key, count in used.items())
    return 100 * (1 - max(parts, default=0.0))


def build_figures(
    scenario: str,
    variant: str,
    report: LoadReport,
    samples: Sequence[Sample],
    runs: Sequence[Mapping[str, Any]],
    headroom_pct: float,
    drain_s: float | None,
    move: str,
) -> Figures:
    """Build the figures of one variant."""
    histogram = answered_latencies(samples)
    p50, p99, p999 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9))
    new_runs = sum(run["version"] == "v2" for run in runs)
    return Figures(
        scenario,
        variant,
        report.sent,
        100 * report.answered / max(1, report.sent),
        p50,
        p99,
        p999,
        100 * report.worst_workspace_answered,
        report.refused_within_rate,
        headroom_pct,
        100 * new_runs / max(1, len(runs)),
        drain_s,
        report.deposits_twice,
        report.deposits_lost,
        move,
    )
