"""Simulate version moves period by period with the production plan, steps and judge."""

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
# Probability of each latency bucket; bucket 5 ends at 5.7 ms.
LATENCY_DISTRIBUTION = ((5, 0.60), (6, 0.25), (7, 0.11), (8, 0.03), (10, 0.01))
BUCKETS, BUCKET_PROBABILITIES = zip(*LATENCY_DISTRIBUTION, strict=True)
# Drawing latencies one by one is faster up to this number of responses.
MAX_DIRECT_DRAWS = 200


@frozen
class VersionBehaviour:
    """Behaviour of a simulated new version.

    Attributes:
        failure_rate: Failure rate of the new version in addition to the base rate of both versions.
        added_latency_buckets: Number of latency buckets by which the new version is slower; two
            buckets are a factor of 2.
        faulty_from_s: Time from which the new version is faulty.
        faulty_from_share_ppm: Traffic share from which the new version is faulty.
        faulty_routes: Routes on which the new version is faulty.
        shared_degradation: Whether both versions periodically fail and slow down alike.
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
        """Return whether the new version must be rolled back."""
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
    """Decides from request counts whether to roll back a new version."""

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Process the counts of one period and return the reason for a rollback, if any."""


@define
class JudgePolicy:
    """Rolls back when the production judge's sequential test finds a fault."""

    judge_state: JudgeState = field(
        factory=lambda: JudgeState(fleet_false_positive_rate(1), len(ROUTES))
    )

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Process the counts of one period and return the reason for a rollback, if any."""
        verdict = judge(self.judge_state, counts_by_route, now_s)
        return str(verdict) if verdict else None


@define
class FixedCountPolicy:
    """Rolls back after a fixed number of failures of the new version; a baseline."""

    max_failures: int = 10
    failures: int = 0

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Process the counts of one period and return the reason for a rollback, if any."""
        self.failures += sum(pair.new.failures for pair in counts_by_route.values())
        return "too many failures" if self.failures >= self.max_failures else None


@define
class NoRollbackPolicy:
    """Never rolls back; a baseline."""

    def evaluate(self, counts_by_route: Mapping[str, VersionCounts], now_s: float) -> str | None:
        """Return None for any counts."""
        return None


@frozen
class MoveOutcome:
    """Result of a simulated move.

    Attributes:
        new_version_share: Fraction of all requests that the new version received.
        faulty_s: How long the new version was faulty while it received requests.
        affected_requests: Number of requests that failed or were delayed by the new version's
            faults.
    """

    phase: MovePhase
    end_s: float
    new_version_share: float
    faulty_s: float
    affected_requests: int
    reason: str


def draw_binomial(n: int, p: float, rng: random.Random) -> int:
    """Draw from a binomial distribution, approximated by a normal one for large means."""
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
    """Draw the failures and latencies of n requests."""
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
    """Simulated move of a service with a constant request rate.

    Attributes:
        duration_s: Planned duration of the move.
        period_s: Length of the periods for which counts arrive.
        fractional_requests: Fractions of requests carried over to the next period, by key.
    """

    behaviour: VersionBehaviour
    rate_per_s: float
    rng: random.Random
    duration_s: float = 600.0
    period_s: float = 1.0
    base_failure_rate: float = 0.002
    fractional_requests: dict[str, float] = field(factory=dict)

    def run(self, policy: RollbackPolicy) -> MoveOutcome:
        """Simulate the move until it ends or 120 s after its planned end."""
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
        """Draw the counts of one period and the number of requests that the faults affect."""
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
        """Return the whole number of requests due, carrying the fraction over to the next call."""
        balance = self.fractional_requests.get(key, 0.0) + amount
        self.fractional_requests[key] = balance % 1
        return int(balance)
