"""Summarize the samples of a run."""

from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import asdict, frozen
from hdrh.histogram import HdrHistogram

from wagtailbay_bench.load.const import HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
from wagtailbay_bench.load.models import LoadPlan, Sample, TrafficClass


@frozen
class ClassSummary:
    """Summarize one traffic class; latencies are of answered requests only."""

    name: str
    workspace: str
    sent: int
    answered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    refused_by_code: Mapping[str, int]


@frozen
class LoadReport:
    """Summarize a run.

    Attributes:
        worst_workspace_answered: The lowest answered share among workspaces within their rate.
        refused_within_rate: Requests of classes within their rate that were refused for rate.
        deposits_twice: Idempotency keys that ran more than once at targets.
        deposits_lost: Answered idempotency keys that no target ran.
    """

    classes: tuple[ClassSummary, ...]
    sent: int
    answered: int
    worst_workspace: str
    worst_workspace_answered: float
    refused_within_rate: int
    sent_within_rate: int
    deposits_twice: int
    deposits_lost: int
    version_share: Mapping[str, float]

    def as_json(self) -> dict:
        """Return the report as JSON values."""
        return asdict(self)


def summarize(plan: LoadPlan, samples: list[Sample], runs: Mapping[str, int]) -> LoadReport:
    """Summarize samples; runs counts how often targets ran each idempotency key."""
    within = {c.name for c in plan.classes if c.within_rate}
    worst, worst_share = _worst_workspace([s for s in samples if s.traffic_class in within])
    versions = Counter(s.version for s in samples if s.version)
    total = sum(versions.values()) or 1
    kept = [s for s in samples if s.traffic_class in within]
    return LoadReport(
        tuple(_summarize_class(c, samples) for c in plan.classes),
        sent=len(samples),
        answered=sum(s.answered for s in samples),
        worst_workspace=worst,
        worst_workspace_answered=worst_share,
        refused_within_rate=sum(s.code == "rate_exceeded" for s in kept),
        sent_within_rate=len(kept),
        deposits_twice=sum(1 for key, count in runs.items() if key != "-" and count > 1),
        deposits_lost=sum(1 for s in samples if s.key and s.answered and not runs.get(s.key)),
        version_share={name: count / total for name, count in sorted(versions.items())},
    )


def _worst_workspace(samples: Iterable[Sample]) -> tuple[str, float]:
    sent: Counter = Counter()
    answered: Counter = Counter()
    for sample in samples:
        sent[sample.workspace] += 1
        answered[sample.workspace] += sample.answered
    shares = {name: answered[name] / sent[name] for name in sent}
    worst = min(shares, key=lambda name: (shares[name], name), default="")
    return worst, shares.get(worst, 1.0)


def _summarize_class(traffic_class: TrafficClass, samples: list[Sample]) -> ClassSummary:
    own = [s for s in samples if s.traffic_class == traffic_class.name]
    histogram = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
    for sample in own:
        if sample.answered:
            histogram.record_value(max(1, round(sample.latency_ms * 1000)))
    p50, p99, p999 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9))
    codes = Counter(s.code or str(s.status) for s in own if not s.answered)
    return ClassSummary(
        traffic_class.name,
        traffic_class.workspace,
        len(own),
        histogram.get_total_count(),
        p50,
        p99,
        p999,
        dict(sorted(codes.items())),
    )
