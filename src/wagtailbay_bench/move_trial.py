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
LATENCY_DISTRIBUTION = ((5, 0.60), (6, 0.25), (7, 0.11), (8, 0.03), (10, 0.01))
BUCKETS, BUCKET_PROBABILITIES = zip(*LATENCY_DISTRIBUTION, strict=True)
# Up to this many answers are drawn one by one, which is faster.
MAX_DIRECT_DRAWS = 200


@frozen
class VersionBehaviour:
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
    added_latency_buckets: int = 0
    faulty_from_s: float = 0.0
    faulty_from_share_ppm: int = 0
    faulty_routes: tuple[str, ...] = ROUTES
    shared_degradation: bool = False

    @property
    def is_faulty(self) -> bool:
        """Tell whether it must be rolled back."""
        return self.failure_rate > 0 or self.added_latency_buckets > 0


VERSION_BEHAVIOURS = (
    VersionBehaviour("good"),
    VersionBehaviour("good-shared-trouble", shared_degradation=True),
    VersionBehaviour("fails-at-once", failure_rate=0.5),
    VersionBehaviour("fails-a-little", failure_rate=0.05),
    VersionBehaviour("fails-later", failure_rate=0.5, faulty_from_s=200.0),
    VersionBehaviour("fails-under-load", failure_rate=0.3, faulty_from_share_ppm=300_000),
    VersionBehaviour("fails-on-one-route", failure_rate=0.3, faulty_routes=("search",)),
    VersionBehaviour("slow", added_latency_buckets=3),
)


class RollbackPolicy(Protocol):
    """Decide from evidence whether a new version is bad."""

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Take in one period; returns a reason to roll back."""


@define
class JudgePolicy:
    """Decide by the sequential test."""

    judge_state: JudgeState = field(
        factory=lambda: JudgeState(fleet_false_positive_rate(1), len(ROUTES))
    )

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Take in one period."""
        verdict = judge(self.judge_state, counts_by_route, now_s)
        return str(verdict) if verdict else None


@define
class FixedCountPolicy:
    """Decide by a fixed count of failures of the new version; a baseline."""

    max_failures: int = 10
    failures: int = 0

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Take in one period."""
        self.failures += sum(pair.new.failures for pair in counts_by_route.values())
        return "too many failures" if self.failures >= self.max_failures else None


@define
class NoRollbackPolicy:
    """Never find a version bad; a baseline."""

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
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
    new_version_share: float
    faulty_s: float
    affected_requests: int
    reason: str


def draw_binomial(n: int, p: float, rng: random.Random) -> int:
    """Draw from a binomial distribution; large ones by the normal approximation."""
    if n <= 0 or p <= 0:
        return 0
    if p >= 1:
        return n
    if p > 0.5:
        return n - draw_binomial(n, 1 - p, rng)
    if n * p > 30:
        return min(n, max(0, round(rng.gauss(n * p, math.sqrt(n * p * (1 - p))))))
    hits, position, scale = 0, 0, math.log1p(-p)
    while (position := position + 1 + int(math.log(1 - rng.random()) / scale)) <= n:
        hits += 1
    return hits


def draw_counts(n: int, failure_rate: float, latency_shift: int, rng: random.Random) -> Counts:
    """Draw the outcomes of n requests."""
    if n == 0:
        return Counts()
    failures = draw_binomial(n, failure_rate, rng)
    remaining, remaining_probability, latencies = n - failures, 1.0, [0] * LATENCY_BUCKETS
    if remaining <= MAX_DIRECT_DRAWS:
        for bucket in rng.choices(BUCKETS, BUCKET_PROBABILITIES, k=remaining):
            latencies[bucket + latency_shift] += 1
        return Counts(n, failures, tuple(latencies))
    for bucket, probability in LATENCY_DISTRIBUTION:
        drawn = (
            draw_binomial(remaining, min(1.0, probability / remaining_probability), rng)
            if remaining_probability > 1e-9
            else remaining
        )
        latencies[bucket + latency_shift] += drawn
        remaining, remaining_probability = remaining - drawn, remaining_probability - probability
    return Counts(n, failures, tuple(latencies))


@define
class MoveTrial:
    """Run one move of a service with a constant rate of requests.

    Attributes:
        tick_s: Length of the periods in which evidence arrives.
    """

    behaviour: VersionBehaviour
    rate_per_s: float
    rng: random.Random
    duration_s: float = 600.0
    period_s: float = 1.0
    base_failure_rate: float = 0.002
    fractional_requests: dict[str, float] = field(factory=dict)

    def run(self, policy: RollbackPolicy) -> MoveOutcome:
        """Run the move to its end."""
        plan = VersionPlan("v1", "v2", 0.0, self.duration_s, 200_000)
        state, step, requests = begin_move(plan, 0.0), -1, 0
        total = new_total = faulty_s = affected_requests = 0
        now_s = 0.0
        while not state.ended and now_s < self.duration_s + 120:
            counts_by_route, affected = self._draw_period(state.share_ppm, now_s)
            now_s += self.period_s
            new = sum(pair.new.requests for pair in counts_by_route.values())
            total += sum(pair.old.requests for pair in counts_by_route.values()) + new
            new_total, affected_requests = new_total + new, affected_requests + affected
            shows_faults = state.share_ppm and self._is_faulty_at(state.share_ppm, now_s)
            faulty_s += self.period_s if shows_faults else 0
            requests = requests + new if step == state.step else new
            step = state.step
            evidence = StepEvidence(requests, policy.evaluate(counts_by_route, now_s))
            state = advance(state, evidence, now_s)
        return MoveOutcome(
            state.phase, now_s, new_total / max(1, total), faulty_s, affected_requests, state.reason
        )

    def _is_faulty_at(self, share_ppm: int, now_s: float) -> bool:
        behaviour = self.behaviour
        return (
            behaviour.is_faulty
            and now_s >= behaviour.faulty_from_s
            and share_ppm >= behaviour.faulty_from_share_ppm
        )

    def _draw_period(self, share_ppm: int, now_s: float) -> tuple[dict[str, VersionCounts], int]:
        """Draw one period; also returns how many requests the new version's faults hit."""
        degraded = self.behaviour.shared_degradation and now_s % 120 >= 90
        old_failure_rate = 0.2 if degraded else self.base_failure_rate
        latency_shift = 2 if degraded else 0
        counts_by_route, affected = {}, 0
        for route in ROUTES:
            count = self._whole_requests(route, self.rate_per_s * self.period_s / len(ROUTES))
            new = self._whole_requests(f"{route}/new", count * share_ppm / PPM)
            is_faulty = (
                self._is_faulty_at(share_ppm, now_s) and route in self.behaviour.faulty_routes
            )
            new_failure_rate = old_failure_rate + (
                self.behaviour.failure_rate if is_faulty else 0.0
            )
            added_buckets = self.behaviour.added_latency_buckets if is_faulty else 0
            new_counts = draw_counts(new, new_failure_rate, latency_shift + added_buckets, self.rng)
            old_counts = draw_counts(count - new, old_failure_rate, latency_shift, self.rng)
            affected += (new if added_buckets else new_counts.failures) if is_faulty else 0
            counts_by_route[route] = VersionCounts(old_counts, new_counts)
        return counts_by_route, affected

    def _whole_requests(self, key: str, amount: float) -> int:
        """Turn a rate into whole requests, rounding down and keeping the rest."""
        balance = self.fractional_requests.get(key, 0.0) + amount
        self.fractional_requests[key] = balance % 1
        return int(balance)
