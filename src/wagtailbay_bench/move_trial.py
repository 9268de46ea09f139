"""Simulate moves period by period with the real plan, steps and judgement."""

import math
import random
from collections.abc import Mapping
from typing import Protocol

from attrs import define, field, frozen

from wagtailbay.config import VersionPlan
from wagtailbay.shift.advance import StepEvidence, advance
from wagtailbay.shift.const import LATENCY_BUCKETS, PPM
from wagtailbay.shift.judge import JudgeState, fleet_false_positive_rate, judge
from wagtailbay.shift.models import Counts, MovePhase, VersionCounts
from wagtailbay.shift.plan import begin_move

ROUTES = ("read", "search")
# Part of the answers in each latency bucket; bucket 5 ends at 5.7 ms.
LATENCY_PARTS = ((5, 0.60), (6, 0.25), (7, 0.11), (8, 0.03), (10, 0.01))
BUCKETS, PARTS = zip(*LATENCY_PARTS, strict=True)
# Up to this many answers are drawn one by one, which is faster.
SMALL_DRAW = 200


@frozen
class Kind:
    """Describe how a new version behaves; both versions share trouble.

    Attributes:
        failure_rate: The new version's own failures, beside the base rate of both.
        slower_buckets: How many latency buckets it is slower; two are a factor of 2.
        from_s: When its faults start.
        from_share_ppm: Above which share it shows them.
        routes: Where it shows them.
        trouble: Whether both versions fail and slow down alike now and then.
    """

    name: str
    failure_rate: float = 0.0
    slower_buckets: int = 0
    from_s: float = 0.0
    from_share_ppm: int = 0
    routes: tuple[str, ...] = ROUTES
    trouble: bool = False

    @property
    def bad(self) -> bool:
        """Tell whether it must be rolled back."""
        return self.failure_rate > 0 or self.slower_buckets > 0


KINDS = (
    Kind("good"),
    Kind("good-shared-trouble", trouble=True),
    Kind("fails-at-once", failure_rate=0.5),
    Kind("fails-a-little", failure_rate=0.05),
    Kind("fails-later", failure_rate=0.5, from_s=200.0),
    Kind("fails-under-load", failure_rate=0.3, from_share_ppm=300_000),
    Kind("fails-on-one-route", failure_rate=0.3, routes=("search",)),
    Kind("slow", slower_buckets=3),
)


class Decider(Protocol):
    """Decide from evidence whether a new version is bad."""

    def period(self, period: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Take in one period; returns a reason to roll back."""


@define
class JudgeDecider:
    """Decide by the sequential test."""

    judgement: JudgeState = field(
        factory=lambda: JudgeState(fleet_false_positive_rate(1), len(ROUTES))
    )

    def period(self, period: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Take in one period."""
        verdict = judge(self.judgement, period, now_s)
        return str(verdict) if verdict else None


@define
class FixedCountDecider:
    """Decide by a fixed count of failures of the new version; a baseline."""

    most_failures: int = 10
    failures: int = 0

    def period(self, period: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Take in one period."""
        self.failures += sum(pair.new.failures for pair in period.values())
        return "too many failures" if self.failures >= self.most_failures else None


@define
class NoDecider:
    """Never find a version bad; a baseline."""

    def period(self, period: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Ignore the evidence."""
        return None


@frozen
class MoveOutcome:
    """Hold how a simulated move ended.

    Attributes:
        new_part: The new version's part of all requests until the end of the move.
        bad_s: How long the new version showed its faults before the end.
        bad_requests: The requests that it failed or delayed by its own fault.
    """

    phase: MovePhase
    end_s: float
    new_part: float
    bad_s: float
    bad_requests: int
    reason: str


def binomial(n: int, p: float, source: random.Random) -> int:
    """Draw from a binomial distribution; large ones by the normal approximation."""
    if n <= 0 or p <= 0:
        return 0
    if p >= 1:
        return n
    if p > 0.5:
        return n - binomial(n, 1 - p, source)
    if n * p > 30:
        return min(n, max(0, round(source.gauss(n * p, math.sqrt(n * p * (1 - p))))))
    hits, position, scale = 0, 0, math.log1p(-p)
    while (position := position + 1 + int(math.log(1 - source.random()) / scale)) <= n:
        hits += 1
    return hits


def draw_counts(n: int, failure_rate: float, slower: int, source: random.Random) -> Counts:
    """Draw the outcomes of n requests."""
    if n == 0:
        return Counts()
    failures = binomial(n, failure_rate, source)
    left, part_left, latencies = n - failures, 1.0, [0] * LATENCY_BUCKETS
    if left <= SMALL_DRAW:
        for bucket in source.choices(BUCKETS, PARTS, k=left):
            latencies[bucket + slower] += 1
        return Counts(n, failures, tuple(latencies))
    for bucket, part in LATENCY_PARTS:
        drawn = binomial(left, min(1.0, part / part_left), source) if part_left > 1e-9 else left
        latencies[bucket + slower] += drawn
        left, part_left = left - drawn, part_left - part
    return Counts(n, failures, tuple(latencies))


@define
class MoveTrial:
    """Run one move of a service with a constant rate of requests.

    Attributes:
        tick_s: Length of the periods in which evidence arrives.
    """

    kind: Kind
    rate_per_s: float
    source: random.Random
    length_s: float = 600.0
    tick_s: float = 1.0
    base_failure_rate: float = 0.002
    credit: dict[str, float] = field(factory=dict)

    def run(self, decider: Decider) -> MoveOutcome:
        """Run the move to its end."""
        plan = VersionPlan("v1", "v2", 0.0, self.length_s, 200_000)
        state, step, requests = begin_move(plan, 0.0), -1, 0
        total = new_total = bad_s = bad_requests = 0
        now_s = 0.0
        while not state.ended and now_s < self.length_s + 120:
            period, bad = self._draw(state.share_ppm, now_s)
            now_s += self.tick_s
            new = sum(pair.new.requests for pair in period.values())
            total += sum(pair.old.requests for pair in period.values()) + new
            new_total, bad_requests = new_total + new, bad_requests + bad
            showing = state.share_ppm and self._is_bad(state.share_ppm, now_s)
            bad_s += self.tick_s if showing else 0
            requests = requests + new if step == state.step else new
            step = state.step
            evidence = StepEvidence(requests, decider.period(period, now_s))
            state = advance(state, evidence, now_s)
        return MoveOutcome(
            state.phase, now_s, new_total / max(1, total), bad_s, bad_requests, state.reason
        )

    def _is_bad(self, share_ppm: int, now_s: float) -> bool:
        kind = self.kind
        return kind.bad and now_s >= kind.from_s and share_ppm >= kind.from_share_ppm

    def _draw(self, share_ppm: int, now_s: float) -> tuple[dict[str, VersionCounts], int]:
        """Draw one period; also returns how many requests the new version's faults hit."""
        trouble = self.kind.trouble and now_s % 120 >= 90
        base = 0.2 if trouble else self.base_failure_rate
        slower = 2 if trouble else 0
        period, hit = {}, 0
        for route in ROUTES:
            count = self._even(route, self.rate_per_s * self.tick_s / len(ROUTES))
            new = self._even(f"{route}/new", count * share_ppm / PPM)
            bad = self._is_bad(share_ppm, now_s) and route in self.kind.routes
            failing = base + (self.kind.failure_rate if bad else 0.0)
            extra = self.kind.slower_buckets if bad else 0
            new_counts = draw_counts(new, failing, slower + extra, self.source)
            old_counts = draw_counts(count - new, base, slower, self.source)
            hit += (new if extra else new_counts.failures) if bad else 0
            period[route] = VersionCounts(old_counts, new_counts)
        return period, hit

    def _even(self, key: str, amount: float) -> int:
        """Turn a rate into whole requests, rounding down and keeping the rest."""
        whole = self.credit.get(key, 0.0) + amount
        self.credit[key] = whole % 1
        return int(whole)
