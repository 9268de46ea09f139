"""Measure and publish the demand at this VM."""

from math import ceil, floor, log10, sqrt

from attrs import define, field

from wagtailbay.allotment.const import (
    CEASED_AFTER_MEAN_GAPS,
    DEMAND_HEADROOM_FACTOR,
    DEMAND_KIND,
    DEMAND_PUBLISH_INTERVAL_S,
    DEMAND_REFRESH_S,
    DEMAND_SMOOTHING_S,
    DEMAND_TTL_MS,
    FAST_DEMAND_SMOOTHING_S,
    FULL_SHARE_PPM,
    MIN_PUBLISHED_CHANGE,
)
from wagtailbay.allotment.models import Demand
from wagtailbay.limits import BudgetLimit, DecayingRate
from wagtailbay.membership import FactTable


@define
class DemandMeter:
    """Hold the rates of what was asked for.

    Attributes:
        smooth: Over 1 s.
        newest: Over 100 ms.
        amount: What was asked for last.
    """

    slow_rate: DecayingRate = field(factory=lambda: DecayingRate(DEMAND_SMOOTHING_S))
    fast_rate: DecayingRate = field(factory=lambda: DecayingRate(FAST_DEMAND_SMOOTHING_S))
    last_amount: float = 0.0

    def record(self, amount: float, now_s: float) -> None:
        """Count an amount."""
        self.fast_rate.record(amount, now_s)
        self.slow_rate.record(amount, now_s)
        self.last_amount = amount

    def expected_rate(self, now_s: float) -> float:
        """Return the amount a second to expect next, after a jump sooner than rate() does.

        The newest rate counts less twice the deviation that random arrivals alone give it.
        """
        fast_per_s = self.fast_rate.at(now_s)
        deviation_per_s = sqrt(fast_per_s * self.last_amount / (2 * FAST_DEMAND_SMOOTHING_S))
        return max(self.rate(now_s), fast_per_s - 2 * deviation_per_s)

    def has_ceased(self, now_s: float) -> bool:
        """Tell whether the silence is longer than random arrivals at the rate would leave it."""
        idle_s = now_s - self.slow_rate.updated_s
        return idle_s * self.rate(now_s) > CEASED_AFTER_MEAN_GAPS * self.last_amount

    def rate(self, now_s: float) -> float:
        """Return the amount a second."""
        return self.slow_rate.at(now_s)


@define
class DemandTracker:
    """Meter every budget and publish one fact for all of them when it changes noticeably."""

    facts: FactTable
    meters: dict[str, DemandMeter] = field(factory=dict)
    published_rates: dict[str, float] = field(factory=dict)
    published_s: float | None = None

    def record(self, budget: str, amount: float, now_s: float) -> None:
        """Count an amount asked of a budget."""
        meter = self.meters.get(budget)
        if meter is None:
            meter = self.meters[budget] = DemandMeter()
        meter.record(amount, now_s)

    def rate(self, budget: str, now_s: float) -> float:
        """Return the amount a second asked of a budget."""
        meter = self.meters.get(budget)
        return 0.0 if meter is None else meter.rate(now_s)

    def active_rate(self, budget: str, now_s: float) -> float:
        """Return the amount a second for which a lender keeps tokens; 0 once demand has ceased."""
        meter = self.meters.get(budget)
        return 0.0 if meter is None or meter.has_ceased(now_s) else meter.rate(now_s)

    def expected_rate(self, budget: str, now_s: float) -> float:
        """Return the amount a second of a budget to expect next."""
        meter = self.meters.get(budget)
        return 0.0 if meter is None else meter.expected_rate(now_s)

    def publish(self, now_s: float) -> bool:
        """Publish where something changed or the fact would expire; returns whether it did."""
        since_s = float("inf") if self.published_s is None else now_s - self.published_s
        if since_s < DEMAND_PUBLISH_INTERVAL_S * 0.9:
            return False
        rates = {
            budget: round_to_two_digits(meter.rate(now_s)) for budget, meter in self.meters.items()
        }
        rates = {budget: rate for budget, rate in rates.items() if rate > 0}
        if since_s < DEMAND_REFRESH_S and not self._has_changed(rates):
            return False
        self.published_rates, self.published_s = rates, now_s
        self.facts.publish(DEMAND_KIND, "", Demand(rates), ttl_ms=DEMAND_TTL_MS, now_s=now_s)
        return True

    def _has_changed(self, rates: dict[str, float]) -> bool:
        return any(
            abs(rates.get(budget, 0.0) - self.published_rates.get(budget, 0.0))
            > MIN_PUBLISHED_CHANGE
            * max(rates.get(budget, 0.0), self.published_rates.get(budget, 0.0))
            for budget in rates.keys() | self.published_rates.keys()
        )


def round_to_two_digits(rate: float) -> float:
    """Round to two significant digits, and what is below 0.01 a second to nothing."""
    if rate < 0.01:
        return 0.0
    return round(rate, 1 - floor(log10(rate)))


def current_demand(facts: FactTable, now_s: float) -> dict[tuple[str, int], Demand]:
    """Return the demand facts that have not expired, by VM and incarnation."""
    return {
        (fact.vm, fact.incarnation): fact.value
        for fact in facts.of_kind(DEMAND_KIND, now_s)
        if isinstance(fact.value, Demand)
    }


def required_ppm(limit: BudgetLimit, demand_per_s: float) -> int:
    """Return the share, in parts per million, whose rate meets a demand with some headroom."""
    rate_per_s = max(limit.rate_per_s, 1e-9)
    return min(
        FULL_SHARE_PPM, ceil(DEMAND_HEADROOM_FACTOR * demand_per_s / rate_per_s * FULL_SHARE_PPM)
    )
