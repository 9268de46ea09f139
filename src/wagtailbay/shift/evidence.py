"""Counts of request outcomes by version, on this VM and over the fleet."""

import math
from collections.abc import Mapping

from attrs import define, field

from wagtailbay.membership import FactTable
from wagtailbay.shift.const import (
    EVIDENCE_KIND,
    EVIDENCE_TTL_MS,
    LATENCY_BUCKETS,
    MAX_DELTA_REQUESTS,
    WARMUP_REQUESTS,
)
from wagtailbay.shift.models import Counts, Evidence, VersionCounts
from wagtailbay.shift.wire import is_valid_evidence
from wagtailbay.steer import AttemptOutcome, AttemptReport


def latency_bucket(latency_ms: float) -> int:
    """Return the bucket of a latency; the upper bound of bucket n is 2^(n/2) ms."""
    if not latency_ms > 1.0:
        return 0
    return min(LATENCY_BUCKETS - 1, math.ceil(2 * math.log2(min(latency_ms, 1e9))))


@define
class _OutcomeCounter:
    requests: int = 0
    failures: int = 0
    warmup: int = 0
    latencies: list[int] = field(factory=lambda: [0] * LATENCY_BUCKETS)

    def add(self, report: AttemptReport) -> None:
        if report.outcome is AttemptOutcome.CANCELLED:
            return
        self.requests += 1
        if report.failed:
            self.failures += 1
        elif report.outcome is AttemptOutcome.SHED:
            # Counts as slowest: a version that sheds more than the old one can't carry its share.
            self.latencies[-1] += 1
        elif self.warmup < WARMUP_REQUESTS:
            self.warmup += 1
        else:
            self.latencies[latency_bucket(report.latency_ms)] += 1

    def counts(self) -> Counts:
        return Counts(self.requests, self.failures, tuple(self.latencies))


@define
class EvidenceRecorder:
    """Count the attempts on this VM since a move began, by route and version."""

    service: str
    move: str
    old_version: str
    new_version: str
    counters: dict[str, dict[str, _OutcomeCounter]] = field(factory=dict)

    def record(self, route: str, version: str, report: AttemptReport) -> None:
        """Count one attempt; attempts of other versions are ignored."""
        if version not in (self.old_version, self.new_version):
            return
        route_counters = self.counters.setdefault(
            route, {self.old_version: _OutcomeCounter(), self.new_version: _OutcomeCounter()}
        )
        route_counters[version].add(report)

    def counts_by_route(self) -> dict[str, VersionCounts]:
        """Return the counts of both versions for each route."""
        return {
            route: VersionCounts(
                counters[self.old_version].counts(), counters[self.new_version].counts()
            )
            for route, counters in self.counters.items()
        }


@define
class EvidencePublisher:
    """Publish this VM's counts of a move as facts, and renew them before they expire."""

    facts: FactTable
    published: dict[str, tuple[VersionCounts, float]] = field(factory=dict)

    def publish(
        self, recorder: EvidenceRecorder, counts_by_route: Mapping[str, VersionCounts], now_s: float
    ) -> None:
        """Publish the routes whose counts changed or whose fact reached half of its lifetime."""
        for route, counts in counts_by_route.items():
            key = f"{recorder.service}/{route}"
            last_published = self.published.get(key)
            if (
                last_published
                and last_published[0] == counts
                and now_s - last_published[1] < EVIDENCE_TTL_MS / 2000
            ):
                continue
            value = Evidence(recorder.service, recorder.move, route, counts)
            self.facts.publish(EVIDENCE_KIND, key, value, ttl_ms=EVIDENCE_TTL_MS, now_s=now_s)
            self.published[key] = (counts, now_s)


@define
class FleetEvidence:
    """Collect the increase of all VMs' counts between two reads."""

    facts: FactTable
    service: str
    move: str
    last_counts: dict[tuple[str, str], tuple[int, VersionCounts]] = field(factory=dict)

    def collect_deltas(self, now_s: float) -> dict[str, VersionCounts]:
        """Return the increase since the last call, summed over the VMs, by route.

        The first counts of a VM are only the baseline, since they may cover several steps.
        """
        deltas: dict[str, VersionCounts] = {}
        for fact in self.facts.of_kind(EVIDENCE_KIND, now_s):
            evidence = fact.value
            if not is_valid_evidence(evidence):
                continue
            if (evidence.service, evidence.move) != (self.service, self.move):
                continue
            key = (fact.vm, evidence.route)
            incarnation, previous = self.last_counts.get(key, (None, VersionCounts()))
            self.last_counts[key] = (fact.incarnation, evidence.counts)
            if incarnation != fact.incarnation:
                continue
            delta = evidence.counts - previous
            if _is_plausible(delta.old) and _is_plausible(delta.new):
                deltas[evidence.route] = deltas.get(evidence.route, VersionCounts()) + delta
        return deltas


def _is_plausible(delta: Counts) -> bool:
    if not delta.is_non_negative or delta.requests > MAX_DELTA_REQUESTS:
        return False
    return delta.failures + sum(delta.latencies) <= delta.requests


def deltas_since(
    previous: Mapping[str, VersionCounts], current: Mapping[str, VersionCounts]
) -> dict[str, VersionCounts]:
    """Return the increase of this VM's counts by route."""
    return {
        route: counts - previous.get(route, VersionCounts()) for route, counts in current.items()
    }
