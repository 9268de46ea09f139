"""Aggregate the samples of a load run."""

from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import asdict, frozen
from hdrh.histogram import HdrHistogram

from wagtailbay_bench.load.const import MAX_LATENCY_US, SIGNIFICANT_DIGITS
from wagtailbay_bench.load.models import LoadPlan, Sample, TrafficClass


@frozen
class ClassSummary:
    """Totals of one traffic class, with latency percentiles of its successful requests."""

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
    """Totals of a load run.

    Attributes:
        worst_workspace: Workspace with the lowest success rate, among classes within their rate
            limit.
        worst_workspace_answered: Success rate of that workspace, from 0 to 1.
        refused_within_rate: Requests refused with ``rate_exceeded``, of classes within their rate
            limit.
        deposits_twice: Idempotency keys that targets ran more than once.
        deposits_lost: Idempotency keys whose request succeeded although no target ran it.
        version_share: Share of each service version in the responses that name a version.
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
        """Return the report as a dict for JSON encoding."""
        return asdict(self)


def summarize(plan: LoadPlan, samples: list[Sample], run_counts: Mapping[str, int]) -> LoadReport:
    """Summarize the samples of a plan.

    Args:
        run_counts: How often the targets ran each idempotency key.
    """
    classes_within_rate = {c.name for c in plan.classes if c.within_rate}
    worst, worst_share = _worst_workspace(
        [s for s in samples if s.traffic_class in classes_within_rate]
    )
    versions = Counter(s.version for s in samples if s.version)
    total = sum(versions.values()) or 1
    samples_within_rate = [s for s in samples if s.traffic_class in classes_within_rate]
    return LoadReport(
        tuple(_summarize_class(c, samples) for c in plan.classes),
        sent=len(samples),
        answered=sum(s.answered for s in samples),
        worst_workspace=worst,
        worst_workspace_answered=worst_share,
        refused_within_rate=sum(s.code == "rate_exceeded" for s in samples_within_rate),
        sent_within_rate=len(samples_within_rate),
        deposits_twice=sum(1 for key, count in run_counts.items() if key != "-" and count > 1),
        deposits_lost=sum(
            1
            for s in samples
            if s.idempotency_key and s.answered and not run_counts.get(s.idempotency_key)
        ),
        version_share={name: count / total for name, count in sorted(versions.items())},
    )


def _worst_workspace(samples: Iterable[Sample]) -> tuple[str, float]:
    sent: Counter = Counter()
    answered: Counter = Counter()
    for sample in samples:
        sent[sample.workspace] += 1
        answered[sample.workspace] += sample.answered
    answered_shares = {name: answered[name] / sent[name] for name in sent}
    worst = min(answered_shares, key=lambda name: (answered_shares[name], name), default="")
    return worst, answered_shares.get(worst, 1.0)


def _summarize_class(traffic_class: TrafficClass, samples: list[Sample]) -> ClassSummary:
    class_samples = [s for s in samples if s.traffic_class == traffic_class.name]
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for sample in class_samples:
        if sample.answered:
            histogram.record_value(max(1, round(sample.latency_ms * 1000)))
    p50, p99, p999 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9))
    failure_counts = Counter(s.code or str(s.status) for s in class_samples if not s.answered)
    return ClassSummary(
        traffic_class.name,
        traffic_class.workspace,
        len(class_samples),
        histogram.get_total_count(),
        p50,
        p99,
        p999,
        dict(sorted(failure_counts.items())),
    )
