"""Compute the figures of one run from samples of callers and recorded runs of targets."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from attrs import fields, frozen
from hdrh.histogram import HdrHistogram

from wagtailbay_bench.load import LoadReport, Sample
from wagtailbay_bench.load.const import MAX_LATENCY_US, SIGNIFICANT_DIGITS
from wagtailbay_bench.measure.const import CALLERS_BY_SERVICE


@frozen
class CallerFigures:
    """Figures of one group of callers, with latency percentiles of successful requests."""

    callers: str
    sent: int
    answered_pct: float
    p50_ms: float
    p99_ms: float
    p999_ms: float

    def format_pairs(self) -> str:
        """Format the figures as key=value pairs, with the group as a prefix of each key."""
        return (
            f"{self.callers}_sent={self.sent} {self.callers}_answered_pct={self.answered_pct:.2f}"
            f" {self.callers}_p50_ms={self.p50_ms:.2f} {self.callers}_p99_ms={self.p99_ms:.2f}"
            f" {self.callers}_p999_ms={self.p999_ms:.2f}"
        )


@frozen
class Figures:
    """Figures of one variant in one scenario.

    Attributes:
        answered_pct: Share of requests that succeeded, in %.
        worst_workspace_pct: Lowest success rate of a workspace within its rate limit, in %.
        least_headroom_pct: 100 minus the highest utilization of a region by a service in any
            second, in % of its capacity.
        drain_s: Time from the start of the drain to the last run on a drained target, None
            without a drain.
        new_version_pct: Share of the moved service's runs on the new version, in %.
        move: Phase of the version move at the end, empty without a move.
        callers: Figures of each group of callers.
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
    callers: tuple[CallerFigures, ...] = ()

    def format_line(self) -> str:
        """Format the figures as one line of key=value pairs."""
        names = [a.name for a in fields(Figures) if a.name != "callers"]
        return " ".join(
            [f"{name}={self._format_value(name)}" for name in names]
            + [c.format_pairs() for c in self.callers]
        )

    def _format_value(self, name: str) -> str:
        value = getattr(self, name)
        if isinstance(value, float):
            return f"{value:.2f}"
        return "-" if value in (None, "") else str(value)


def build_latency_histogram(samples: Sequence[Sample]) -> HdrHistogram:
    """Build a histogram of the latencies of all successful requests, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for sample in samples:
        if sample.answered:
            histogram.record_value(max(1, round(sample.latency_ms * 1000)))
    return histogram


def percentiles_ms(samples: Sequence[Sample]) -> tuple[float, float, float]:
    """Return the latency of successful requests at p50, p99 and p99.9."""
    histogram = build_latency_histogram(samples)
    p50, p99, p999 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9))
    return p50, p99, p999


def build_caller_figures(samples: Sequence[Sample]) -> tuple[CallerFigures, ...]:
    """Compute the figures of each group of callers, which follows from the service called."""
    samples_by_callers: dict[str, list[Sample]] = {}
    for sample in samples:
        service = sample.traffic_class.partition("/")[0]
        samples_by_callers.setdefault(CALLERS_BY_SERVICE.get(service, service), []).append(sample)
    return tuple(
        CallerFigures(
            callers,
            len(caller_samples),
            100 * sum(sample.answered for sample in caller_samples) / len(caller_samples),
            *percentiles_ms(caller_samples),
        )
        for callers, caller_samples in sorted(samples_by_callers.items())
    )


def compute_least_headroom_pct(
    runs: Sequence[Mapping[str, Any]],
    locations: Mapping[str, tuple[str, str]],
    capacity_per_s: Mapping[tuple[str, str], float],
) -> float:
    """Compute the lowest headroom of any service in any region and second, in %.

    Args:
        locations: Service and region of each target.
        capacity_per_s: Configured capacity of each service and region.
    """
    run_counts: Counter = Counter()
    for run in runs:
        run_counts[(*locations[run["target"]], int(run["unix_s"]))] += 1
    utilizations = (count / capacity_per_s[key[:2]] for key, count in run_counts.items())
    return 100 * (1 - max(utilizations, default=0.0))


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
    """Build the figures of one variant in one scenario."""
    p50, p99, p999 = percentiles_ms(samples)
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
        build_caller_figures(samples),
    )
