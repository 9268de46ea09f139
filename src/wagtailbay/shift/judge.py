"""Sequential test of whether a new version fails more often or is slower than the old one."""

from collections.abc import Mapping

from attrs import define, field, frozen

from wagtailbay.shift.const import (
    BLOCK_MAX_S,
    MAX_FAILURE_ODDS_RATIO,
    MAX_SLOW_ODDS_RATIO,
    MIN_BLOCK_OLD_REQUESTS,
    MIN_HISTORY_LATENCIES,
    MIN_REFERENCE_FAILURE_RATE,
    MIN_REFERENCE_SLOW_RATE,
    MOVE_FALSE_POSITIVE_RATE,
    REFERENCE_AFTER_S,
    REFERENCE_FACTOR,
    SLOW_PERCENTILE,
)
from wagtailbay.shift.martingale import BettingMartingale, comparison_gains, reference_gains
from wagtailbay.shift.models import Counts, VersionCounts

ALL_ROUTES = "all routes"


@frozen
class Verdict:
    """Symptom of a bad version and the route that shows it."""

    route: str
    symptom: str

    def __str__(self) -> str:
        """Return the reason shown in status and audit records."""
        return f"the new version {self.symptom} on {self.route}"


@define
class _RouteTest:
    """Test of one route: the open block, the old version's history and both martingales."""

    pending: VersionCounts = field(factory=VersionCounts)
    block_start_s: float | None = None
    history: Counts = field(factory=Counts)
    failures: BettingMartingale = field(factory=BettingMartingale)
    slowness: BettingMartingale = field(factory=BettingMartingale)

    def first_slow_bucket(self) -> int | None:
        """Return the first bucket above the old version's 95th percentile, None if unknown."""
        total = sum(self.history.latencies)
        if total < MIN_HISTORY_LATENCIES:
            return None
        cumulative = 0
        for bucket, count in enumerate(self.history.latencies):
            cumulative += count
            if cumulative >= SLOW_PERCENTILE * total:
                return bucket + 1
        return None


@define
class JudgeState:
    """Tests of one move.

    Attributes:
        false_positive_rate: Maximum probability of calling a good version bad.
        routes: Number of routes of the service.
    """

    false_positive_rate: float
    routes: int
    tests: dict[str, _RouteTest] = field(factory=dict)
    pooled: _RouteTest = field(factory=_RouteTest)

    @property
    def threshold(self) -> float:
        """Return the capital at which a martingale shows that the version is bad."""
        return 2 * (self.routes + 1) / self.false_positive_rate


def fleet_false_positive_rate(generation: int) -> float:
    """Return the rate for the lease holder's test; each new holder gets half of the last rate."""
    return MOVE_FALSE_POSITIVE_RATE / 2 * 0.5 ** min(generation, 60)


def local_false_positive_rate(max_vms: int) -> float:
    """Return the rate for the test that each VM runs on its own evidence."""
    return MOVE_FALSE_POSITIVE_RATE / 2 / max(1, max_vms)


def judge(
    judge_state: JudgeState, deltas: Mapping[str, VersionCounts], now_s: float
) -> Verdict | None:
    """Add the increase of the counts by route; return a verdict if the version is bad.

    The test: each route and all routes together have one martingale on failures and one on
    slowness, which is latency above the old version's 95th percentile before the block. A
    martingale multiplies the likelihood ratios of blocks in which both versions served. Each ratio
    is conditional on the events of both versions together, so trouble that hits both shows
    nothing. Once the old version serves no requests, the new one is compared with a bound from the
    old one's history.

    The false-positive rate: a good version has odds of failing of at most 1.5 times and odds of
    being slow of at most twice those of the old one. It is ever called bad with probability at
    most ``false_positive_rate``: Ville's inequality covers any number of checks, and the rate is
    split evenly over the 2 x (routes + 1) martingales. Over a whole move the rates sum to at most
    1%: one half is split over the successive lease holders (1/2, 1/4, ...), the other over
    ``max_vms`` VMs. The bound from the history is valid only if that history is representative.
    """
    for route, counts in deltas.items():
        if route not in judge_state.tests and len(judge_state.tests) >= judge_state.routes:
            continue
        test = judge_state.tests.setdefault(route, _RouteTest())
        test.pending += counts
        if test.block_start_s is None:
            test.block_start_s = now_s
        _close_block(test, judge_state.pooled, now_s)
        verdict = _verdict(route, test, judge_state) or _verdict(
            ALL_ROUTES, judge_state.pooled, judge_state
        )
        if verdict is not None:
            return verdict
    return None


def _close_block(test: _RouteTest, pooled: _RouteTest, now_s: float) -> None:
    """Test the open block if it is complete, which depends only on its requests and its age."""
    old, new = test.pending.old, test.pending.new
    age_s = now_s - (test.block_start_s if test.block_start_s is not None else now_s)
    if new.requests == 0:
        # Old requests alone become history: kept in the block, they would be compared with new
        # requests of a later period.
        if old.requests >= MIN_BLOCK_OLD_REQUESTS and age_s >= BLOCK_MAX_S:
            _start_block(test)
        return
    comparable = old.requests >= MIN_BLOCK_OLD_REQUESTS or (old.requests and age_s >= BLOCK_MAX_S)
    if not comparable and (old.requests or age_s < REFERENCE_AFTER_S):
        return
    failures = _failure_gains(test, old, new)
    slowness = _slow_gains(test, old, new)
    for route_test in (test, pooled):
        route_test.failures.add(failures)
        route_test.slowness.add(slowness)
    _start_block(test)


def _start_block(test: _RouteTest) -> None:
    test.history += test.pending.old
    test.pending, test.block_start_s = VersionCounts(), None


def _failure_gains(test: _RouteTest, old: Counts, new: Counts) -> tuple[float, ...]:
    if old.requests:
        return comparison_gains(
            old.requests, old.failures, new.requests, new.failures, MAX_FAILURE_ODDS_RATIO
        )
    past = test.history
    bound = _reference_rate(past.failures, past.requests, MIN_REFERENCE_FAILURE_RATE)
    return reference_gains(bound, new.requests, new.failures)


def _slow_gains(test: _RouteTest, old: Counts, new: Counts) -> tuple[float, ...]:
    first_slow = test.first_slow_bucket()
    if first_slow is None:
        return reference_gains(MIN_REFERENCE_SLOW_RATE, 0, 0)
    old_total, new_total = sum(old.latencies), sum(new.latencies)
    old_slow, new_slow = sum(old.latencies[first_slow:]), sum(new.latencies[first_slow:])
    if old.requests:
        return comparison_gains(old_total, old_slow, new_total, new_slow, MAX_SLOW_ODDS_RATIO)
    return reference_gains(MIN_REFERENCE_SLOW_RATE, new_total, new_slow)


def _reference_rate(events: int, total: int, minimum: float) -> float:
    """Return a conservative bound of a rate, with a few events added for a short history."""
    return min(0.5, max(minimum, REFERENCE_FACTOR * (events + 2) / (total + 20)))


def _verdict(route: str, test: _RouteTest, judge_state: JudgeState) -> Verdict | None:
    if test.failures.capital >= judge_state.threshold:
        return Verdict(route, "fails")
    if test.slowness.capital >= judge_state.threshold:
        return Verdict(route, "is slow")
    return None
