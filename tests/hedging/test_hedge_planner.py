"""Tests of when a second attempt is due and which limits deny it."""

import pytest

from wagtailbay.hedging import HedgeConditions, HedgeDenial, HedgePlanner, HedgeSettings
from wagtailbay.hedging.const import HEDGE_BURST, MAX_ROUTES
from wagtailbay.programs.gateway_settings import parse_hedge_quantile, parse_hedge_share
from wagtailbay.retries import RetryBudget

CALM = HedgeConditions(priority=0, may_send=True, has_queue=False, utilization=0.3)


def budget(tokens: float = 100.0) -> RetryBudget:
    """Return a retry budget that gains nothing."""
    return RetryBudget(0.0, lambda: 100.0, tokens)


def planner(requests: int = 100, share: float = 0.05) -> HedgePlanner:
    """Return a planner that has seen requests of service s."""
    created = HedgePlanner(HedgeSettings(share))
    for _ in range(requests):
        created.record_request("s")
    return created


class TestDelay:
    """A second attempt is due after a quantile of the route's recent latencies."""

    def test_few_latencies_give_no_delay(self):
        """Guards against second attempts by the quantile of a handful of latencies."""
        hedges = planner()
        for _ in range(19):
            hedges.record_latency("r", 500, 1.0)
        assert hedges.delay_ms("r", 100, 1.0) is None
        for _ in range(3):  # The earlier ones have lost some of their weight.
            hedges.record_latency("r", 500, 2.0)
        assert hedges.delay_ms("r", 100, 2.0) == pytest.approx(500, rel=0.1)

    def test_old_latencies_lose_their_weight(self):
        """Guards against a delay of the past once targets have become slower or idle."""
        hedges = planner()
        for _ in range(1_000):
            hedges.record_latency("r", 100, 0.0)
        for step in range(200):
            hedges.record_latency("r", 900, 300.0 + step / 100)
        assert hedges.delay_ms("r", 100, 302.0) == pytest.approx(900, rel=0.1)
        assert hedges.delay_ms("r", 100, 400.0) is None

    def test_not_before_half_of_the_goal(self):
        """Guards against second attempts for requests that are in time anyway."""
        hedges = planner()
        for _ in range(50):
            hedges.record_latency("r", 10, 0.0)
        assert hedges.delay_ms("r", 600, 0.0) == 300

    def test_routes_are_bounded(self):
        """Guards against memory that grows with each route that ever was."""
        hedges = planner()
        for number in range(2 * MAX_ROUTES):
            hedges.record_latency(f"r{number}", 1e9, 0.0)
        assert len(hedges.latencies.estimates) == MAX_ROUTES


class TestLimits:
    """Each limit denies a second attempt without taking a token."""

    @pytest.mark.parametrize(
        ("conditions", "denial"),
        [
            (HedgeConditions(0, False, False, 0.3), HedgeDenial.TOO_LATE),
            (HedgeConditions(0, True, True, 0.3), HedgeDenial.QUEUE),
            (HedgeConditions(0, True, False, 0.71), HedgeDenial.UTILIZATION),
        ],
    )
    def test_shortage(self, conditions, denial):
        """Guards against more work for targets while requests lack capacity."""
        hedges, retries = planner(), budget()
        assert hedges.admit("s", conditions, retries, 0.0) is denial
        assert retries.tokens == 100
        assert hedges.tokens["s"] == pytest.approx(5.0)

    def test_refusal_in_the_last_second(self):
        """Guards against second attempts beside refused first ones of the same service."""
        hedges = planner()
        hedges.record_refusal("s", 10.0)
        assert hedges.admit("s", CALM, budget(), 10.9) is HedgeDenial.REFUSALS
        assert hedges.admit("s", CALM, budget(), 11.0) is None

    def test_share_bounds_the_burst_of_a_service(self):
        """Guards against a burst saved up in quiet hours, and against use by other services."""
        hedges, retries = planner(requests=100_000), budget()
        denials = [hedges.admit("s", CALM, retries, 0.0) for _ in range(50)]
        assert denials.count(None) == HEDGE_BURST
        assert denials[-1] is HedgeDenial.SHARE
        assert hedges.admit("other", CALM, retries, 0.0) is HedgeDenial.SHARE

    def test_reserve_for_urgent_requests(self):
        """Guards against less urgent requests that use up the share of urgent ones."""
        hedges, less_urgent = planner(100_000), HedgeConditions(1, True, False, 0.3)
        denials = [hedges.admit("s", less_urgent, budget(), 0.0) for _ in range(50)]
        assert denials.count(None) == HEDGE_BURST / 2
        assert hedges.admit("s", CALM, budget(), 0.0) is None

    def test_empty_retry_budget_keeps_the_share(self):
        """Guards against second attempts beyond the retries that the fleet may make."""
        hedges = planner()
        assert hedges.admit("s", CALM, budget(0.5), 0.0) is HedgeDenial.RETRY_BUDGET
        assert hedges.tokens["s"] == pytest.approx(5.0)


class TestSettings:
    """Settings outside their range stop the start."""

    @pytest.mark.parametrize("text", ["-0.01", "0.21", "nan", "half"])
    def test_share_out_of_range(self, text):
        """Guards against a second attempt for most requests."""
        with pytest.raises(ValueError, match="expected a number from 0 to 0.2, got"):
            parse_hedge_share(text)

    @pytest.mark.parametrize("text", ["0.4", "1", "nan", "p95"])
    def test_quantile_out_of_range(self, text):
        """Guards against a delay that most requests exceed, or none."""
        with pytest.raises(ValueError, match="expected a number from 0.5 to 0.999, got"):
            parse_hedge_quantile(text)

    def test_defaults(self):
        """Guards against second attempts at deployments that set nothing."""
        assert not HedgePlanner(HedgeSettings(parse_hedge_share(""))).enabled
        assert parse_hedge_quantile("") == 0.95
