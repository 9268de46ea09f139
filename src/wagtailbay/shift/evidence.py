"""Count how versions serve, on this VM and over the fleet."""

import math
from collections.abc import Mapping

from attrs import define, field

from wagtailbay.membership import FactTable
from wagtailbay.shift.const import (
    COLD_REQUESTS,
    EVIDENCE_KIND,
    EVIDENCE_TTL_MS,
    LATENCY_BUCKETS,
    MAX_PERIOD_REQUESTS,
)
from wagtailbay.shift.models import Counts, Evidence, Pair
from wagtailbay.shift.wire import is_evidence
from wagtailbay.steer import AttemptOutcome, AttemptReport


def latency_bucket(latency_ms: float) -> int:
    """Return the bucket of a latency; bucket n ends at 2^(n/2) ms."""
    if not latency_ms > 1.0:
        return 0
    return min(LATENCY_BUCKETS - 1, math.ceil(2 * math.log2(min(latency_ms, 1e9))))


@define
class _Tally:
    requests: int = 0
    failures: int = 0
    cold: int = 0
    latencies: list[int] = field(factory=lambda: [0] * LATENCY_BUCKETS)

    def add(self, report: AttemptReport) -> None:
        if report.outcome is AttemptOutcome.CANCELLED:
            return
        self.requests += 1
        if report.failed:
            self.failures += 1
        elif report.outcome is AttemptOutcome.SHED:
            # A version that sheds more than the old one cannot carry its share.
            self.latencies[-1] += 1
        elif self.cold < COLD_REQUESTS:
            self.cold += 1
        else:
            self.latencies[latency_bucket(report.latency_ms)] += 1

    def counts(self) -> Counts:
        return Counts(self.requests, self.failures, tuple(self.latencies))


@define
class EvidenceBook:
    """Count this VM's own tries of one move, by route and version, since it began."""

    service: str
    move: str
    old_version: str
    new_version: str
    tallies: dict[str, dict[str, _Tally]] = field(factory=dict)

    def record(self, route: str, version: str, report: AttemptReport) -> None:
        """Count one try; other versions are ignored."""
        if version not in (self.old_version, self.new_version):
            return
        of_route = self.tallies.setdefault(
            route, {self.old_version: _Tally(), self.new_version: _Tally()}
        )
        of_route[version].add(report)

    def pairs(self) -> dict[str, Pair]:
        """Return the counts by route."""
        return {
            route: Pair(tallies[self.old_version].counts(), tallies[self.new_version].counts())
            for route, tallies in self.tallies.items()
        }


@define
class EvidencePublisher:
    """Publish this VM's counts of a move as facts, the changed ones and before they expire."""

    facts: FactTable
    published: dict[str, tuple[Pair, float]] = field(factory=dict)

    def publish(self, book: EvidenceBook, pairs: Mapping[str, Pair], now_s: float) -> None:
        """Publish the routes that changed or whose fact has lived for half its time."""
        for route, pair in pairs.items():
            key = f"{book.service}/{route}"
            known = self.published.get(key)
            if known and known[0] == pair and now_s - known[1] < EVIDENCE_TTL_MS / 2000:
                continue
            value = Evidence(book.service, book.move, route, pair)
            self.facts.publish(EVIDENCE_KIND, key, value, ttl_ms=EVIDENCE_TTL_MS, now_s=now_s)
            self.published[key] = (pair, now_s)


@define
class FleetEvidence:
    """Read how much the counts of all VMs grew since the last reading."""

    facts: FactTable
    service: str
    move: str
    seen: dict[tuple[str, str], tuple[int, Pair]] = field(factory=dict)

    def period(self, now_s: float) -> dict[str, Pair]:
        """Return the growth by route.

        The first counts of a VM only set the level, since they may cover several steps.
        """
        period: dict[str, Pair] = {}
        for fact in self.facts.of_kind(EVIDENCE_KIND, now_s):
            evidence = fact.value
            if not is_evidence(evidence):
                continue
            if (evidence.service, evidence.move) != (self.service, self.move):
                continue
            key = (fact.vm, evidence.route)
            incarnation, before = self.seen.get(key, (None, Pair()))
            self.seen[key] = (fact.incarnation, evidence.counts)
            if incarnation != fact.incarnation:
                continue
            growth = evidence.counts - before
            if _is_plausible(growth.old) and _is_plausible(growth.new):
                period[evidence.route] = period.get(evidence.route, Pair()) + growth
        return period


def _is_plausible(growth: Counts) -> bool:
    if not growth.is_possible or growth.requests > MAX_PERIOD_REQUESTS:
        return False
    return growth.failures + sum(growth.latencies) <= growth.requests


def growth_since(before: Mapping[str, Pair], after: Mapping[str, Pair]) -> dict[str, Pair]:
    """Return by how much this VM's own counts grew."""
    return {route: pair - before.get(route, Pair()) for route, pair in after.items()}
