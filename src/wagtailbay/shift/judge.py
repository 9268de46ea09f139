"""Judge whether a new version fails more often or is slower than the old one."""

from collections.abc import Mapping

from attrs import define, field, frozen

from wagtailbay.shift.const import (
    BLOCK_MAX_S,
    BLOCK_OLD_REQUESTS,
    FAILURE_TOLERANCE,
    MIN_OLD_HISTORY,
    MIN_REFERENCE_FAILURES,
    MIN_REFERENCE_SLOW,
    MOVE_ERROR_RATE,
    REFERENCE_AFTER_S,
    REFERENCE_FACTOR,
    SLOW_PERCENTILE,
    SLOW_TOLERANCE,
)
from wagtailbay.shift.models import Counts, Pair
from wagtailbay.shift.series import BettingSeries, compared_gains, reference_gains

ALL_ROUTES = "all routes"


@frozen
class Verdict:
    """Say on which route and by what a new version is bad."""

    route: str
    sign: str

    def __str__(self) -> str:
        """Return the reason for status and audit."""
        return f"the new version {self.sign} on {self.route}"


@define
class _RouteTest:
    """Hold the open block of a route, the old version's past and both series."""

    pending: Pair = field(factory=Pair)
    since_s: float | None = None
    history: Counts = field(factory=Counts)
    failures: BettingSeries = field(factory=BettingSeries)
    slowness: BettingSeries = field(factory=BettingSeries)

    def slow_from(self) -> int | None:
        """Return the first bucket above the old version's 95th percentile, None if unknown."""
        total = sum(self.history.latencies)
        if total < MIN_OLD_HISTORY:
            return None
        seen = 0
        for bucket, count in enumerate(self.history.latencies):
            seen += count
            if seen >= SLOW_PERCENTILE * total:
                return bucket + 1
        return None


@define
class Judgement:
    """Hold the tests of one move.

    Attributes:
        error_rate: The probability with which it may call a good version bad.
        routes: How many routes the service has.
    """

    error_rate: float
    routes: int
    tests: dict[str, _RouteTest] = field(factory=dict)
    pooled: _RouteTest = field(factory=_RouteTest)

    @property
    def threshold(self) -> float:
        """Return the capital that proves a version bad in one of the tests."""
        return 2 * (self.routes + 1) / self.error_rate


def fleet_error_rate(generation: int) -> float:
    """Return the error rate of the lease holder's test; each new holder has half of the last."""
    return MOVE_ERROR_RATE / 2 * 0.5 ** min(generation, 60)


def local_error_rate(max_vms: int) -> float:
    """Return the error rate of the test that each VM carries out on its own evidence."""
    return MOVE_ERROR_RATE / 2 / max(1, max_vms)


def judge(judgement: Judgement, period: Mapping[str, Pair], now_s: float) -> Verdict | None:
    """Take in the counts of a period by route, and return a verdict if the version is bad.

    The test: for each route and for all together, one series on failures and one on slowness
    (latency above the old version's 95th percentile before the block). A series multiplies
    likelihood ratios of blocks in which both versions served; each is conditional on the hits of
    both together, so a trouble that both share shows nothing. Where the old version serves
    nothing any more, the new one is held to a bound from the old one's past.

    The error rate: a good version, whose odds of failing are at most 1.5 times and of being slow
    at most twice those of the old one, is ever called bad with probability at most
    ``error_rate``: Ville's inequality covers any number of looks, and the rate is split evenly
    over the 2 x (routes + 1) series. Over a whole move the rates sum to at most 1%: one half is
    split over the successive lease holders (1/2, 1/4, ...), the other over ``max_vms`` VMs. The
    bound from the past holds if the old version's past is a fair measure.
    """
    for route, pair in period.items():
        if route not in judgement.tests and len(judgement.tests) >= judgement.routes:
            continue
        test = judgement.tests.setdefault(route, _RouteTest())
        test.pending += pair
        if test.since_s is None:
            test.since_s = now_s
        _close_block(test, judgement.pooled, now_s)
        verdict = _verdict(route, test, judgement) or _verdict(
            ALL_ROUTES, judgement.pooled, judgement
        )
        if verdict is not None:
            return verdict
    return None


def _close_block(test: _RouteTest, pooled: _RouteTest, now_s: float) -> None:
    """Judge the open block if it is complete, by its counts of requests and its age only."""
    old, new = test.pending.old, test.pending.new
    age_s = now_s - (test.since_s if test.since_s is not None else now_s)
    if new.requests == 0:
        # Old requests alone are history; keeping them in the block would compare periods.
        if old.requests >= BLOCK_OLD_REQUESTS and age_s >= BLOCK_MAX_S:
            _start_block(test)
        return
    compared = old.requests >= BLOCK_OLD_REQUESTS or (old.requests and age_s >= BLOCK_MAX_S)
    if not compared and (old.requests or age_s < REFERENCE_AFTER_S):
        return
    failures = _failure_gains(test, old, new)
    slowness = _slow_gains(test, old, new)
    for target in (test, pooled):
        target.failures.add(failures)
        target.slowness.add(slowness)
    _start_block(test)


def _start_block(test: _RouteTest) -> None:
    test.history += test.pending.old
    test.pending, test.since_s = Pair(), None


def _failure_gains(test: _RouteTest, old: Counts, new: Counts) -> tuple[float, ...]:
    if old.requests:
        return compared_gains(
            old.requests, old.failures, new.requests, new.failures, FAILURE_TOLERANCE
        )
    past = test.history
    bound = _bound(past.failures, past.requests, MIN_REFERENCE_FAILURES)
    return reference_gains(bound, new.requests, new.failures)


def _slow_gains(test: _RouteTest, old: Counts, new: Counts) -> tuple[float, ...]:
    first = test.slow_from()
    if first is None:
        return reference_gains(MIN_REFERENCE_SLOW, 0, 0)
    old_total, new_total = sum(old.latencies), sum(new.latencies)
    old_slow, new_slow = sum(old.latencies[first:]), sum(new.latencies[first:])
    if old.requests:
        return compared_gains(old_total, old_slow, new_total, new_slow, SLOW_TOLERANCE)
    return reference_gains(MIN_REFERENCE_SLOW, new_total, new_slow)


def _bound(hits: int, total: int, least: float) -> float:
    """Return a cautious bound of a rate, with a few hits added for a short past."""
    return min(0.5, max(least, REFERENCE_FACTOR * (hits + 2) / (total + 20)))


def _verdict(route: str, test: _RouteTest, judgement: Judgement) -> Verdict | None:
    if test.failures.capital >= judgement.threshold:
        return Verdict(route, "fails")
    if test.slowness.capital >= judgement.threshold:
        return Verdict(route, "is slow")
    return None
