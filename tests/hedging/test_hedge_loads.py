"""Tests of hedging under loads, with the time as an argument."""

import random
from collections.abc import Callable

from attrs import define, field

from wagtailbay.hedging import HedgeConditions, HedgeDenial, HedgePlanner, HedgeSettings
from wagtailbay.retries import RetryBudget

REQUESTS_PER_S = 100
GOAL_MS = 600.0


@define
class HedgeLoad:
    """Sends requests at an even rate; ``latency_ms`` gives the time of an attempt.

    Attributes:
        retries_per_request: Retries after failures that compete for the same budget.
    """

    latency_ms: Callable[[random.Random, float], float]
    share: float = 0.05
    utilization: float = 0.4
    retries_per_request: float = 0.0
    latencies_ms: list[float] = field(factory=list)
    denials: list[HedgeDenial | None] = field(factory=list)
    retries: int = 0

    def run(self, duration_s: float) -> None:
        """Run the load."""
        hedges, rng = HedgePlanner(HedgeSettings(self.share)), random.Random(5)
        budget = RetryBudget(0.15, lambda: 20.0, 1.0)
        for number in range(round(duration_s * REQUESTS_PER_S)):
            now_s = number / REQUESTS_PER_S
            hedges.record_request("s")
            budget.record_first_attempt()
            if rng.random() < self.retries_per_request:
                self.retries += budget.take()
            first_ms = self.latency_ms(rng, now_s)
            delay_ms = hedges.delay_ms("r", GOAL_MS, now_s)
            if delay_ms is not None and first_ms > delay_ms:
                conditions = HedgeConditions(0, True, False, self.utilization)
                denial = hedges.admit("s", conditions, budget, now_s + delay_ms / 1000)
                self.denials.append(denial)
                if denial is None:
                    first_ms = min(first_ms, delay_ms + self.latency_ms(rng, now_s))
            hedges.record_latency("r", first_ms, now_s)
            self.latencies_ms.append(first_ms)

    @property
    def sent(self) -> int:
        """Return the number of second attempts."""
        return self.denials.count(None)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the requests' latencies."""
        return sorted(self.latencies_ms)[int(quantile * len(self.latencies_ms))]


def some_long(rng: random.Random, now_s: float) -> float:
    """Return the latency of targets at which 3% of the requests take seven times as long."""
    return rng.uniform(150, 350) * (7 if rng.random() < 0.03 else 1)


def slow_after_20_s(rng: random.Random, now_s: float) -> float:
    """Return the latency of targets that all become four times slower at 20 s."""
    return rng.uniform(150, 350) * (4 if now_s >= 20 else 1)


class TestHedgeLoads:
    """Second attempts shorten the tail and don't add to a shortage."""

    def test_some_requests_take_seven_times_as_long(self):
        """Guards against a tail that second attempts could have cut off."""
        without, load = HedgeLoad(some_long, share=0.0), HedgeLoad(some_long)
        without.run(60)
        load.run(60)
        assert without.quantile_ms(0.98) > 1_050
        assert load.quantile_ms(0.99) < 750
        assert load.sent <= 0.05 * len(load.latencies_ms)

    def test_all_targets_slow(self):
        """Guards against twice the work once every target is slow, and before it is known."""
        load = HedgeLoad(slow_after_20_s)
        load.run(60)
        in_shortage = HedgeLoad(slow_after_20_s, utilization=0.9)
        in_shortage.run(60)
        assert load.sent <= 0.05 * len(load.latencies_ms)
        # The delay has followed the latencies, so few requests exceed it.
        assert len(load.denials) < 0.15 * len(load.latencies_ms)
        assert in_shortage.sent == 0

    def test_retry_storm(self):
        """Guards against retries and second attempts that together exceed the fleet's ratio."""
        load = HedgeLoad(some_long, retries_per_request=0.5)
        load.run(60)
        assert load.sent + load.retries <= 0.15 * len(load.latencies_ms) + 20
        assert HedgeDenial.RETRY_BUDGET in load.denials
