"""Measure and publish this VM's demand for each budget."""

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
    """Measures the demand for one budget over a slow and a fast window.

    Attributes:
        slow_rate: Demand averaged over 1 s.
        fast_rate: Demand averaged over 100 ms, which detects jumps.
        last_amount: Amount of the most recent request.
    """

    slow_rate: DecayingRate = field(factory=lambda: DecayingRate(DEMAND_SMOOTHING_S))
    fast_rate: DecayingRate = field(factory=lambda: DecayingRate(FAST_DEMAND_SMOOTHING_S))
    last_amount: float = 0.0

    def record(self, amount: float, now_s: float) -> None:
        """Record the amount of one request."""
        self.fast_rate.record(amount, now_s)
        self.slow_rate.record(amount, now_s)
        self.last_amount = amount

    def expected_rate(self, now_s: float) -> float:
        """Return the expected demand per second, which follows a jump sooner than rate().

        The fast rate is reduced by two standard deviations of its noise under random arrivals.
        """
        fast_per_s = self.fast_rate.at(now_s)
        deviation_per_s = sqrt(fast_per_s * self.last_amount / (2 * FAST_DEMAND_SMOOTHING_S))
        return max(self.rate(now_s), fast_per_s - 2 * deviation_per_s)

    def has_ceased(self, now_s: float) -> bool:
        """Return whether requests have been absent longer than random arrivals explain."""
        idle_s = now_s - self.slow_rate.updated_s
        return idle_s * self.rate(now_s) > CEASED_AFTER_MEAN_GAPS * self.last_amount

    def rate(self, now_s: float) -> float:
        """Return the demand per second, averaged over the slow window."""
        return self.slow_rate.at(now_s)


@define
class DemandTracker:
    """Measures the demand for all budgets and publishes it as one fact when it changes."""

    facts: FactTable
    meters: dict[str, DemandMeter] = field(factory=dict)
    published_rates: dict[str, float] = field(factory=dict)
    published_s: float | None = None

    def record(self, budget: str, amount: float, now_s: float) -> None:
        """Record the amount of one request against a budget."""
        meter = self.meters.get(budget)
        if meter is None:
            meter = self.meters[budget] = DemandMeter()
        meter.record(amount, now_s)

    def rate(self, budget: str, now_s: float) -> float:
        """Return the demand per second for a budget."""
        meter = self.meters.get(budget)
        return 0.0 if meter is None else meter.rate(now_s)

    def active_rate(self, budget: str, now_s: float) -> float:
        """Return the demand per second for which a lender keeps tokens, 0 once it has ceased."""
        meter = self.meters.get(budget)
        return 0.0 if meter is None or meter.has_ceased(now_s) else meter.rate(now_s)

    def expected_rate(self, budget: str, now_s: float) -> float:
        """Return the expected demand per second for a budget."""
        meter = self.meters.get(budget)
        return 0.0 if meter is None else meter.expected_rate(now_s)

    def publish(self, now_s: float) -> bool:
        """Publish the demand if it changed significantly or the last fact would expire.

        Returns:
            Whether a fact was published.
        """
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
    """Round to two significant digits; rates below 0.01 per second become 0."""
    if rate < 0.01:
        return 0.0
    return round(rate, 1 - floor(log10(rate)))


def current_demand(facts: FactTable, now_s: float) -> dict[tuple[str, int], Demand]:
    """Return the unexpired demand facts by VM name and incarnation."""
    return {
        (fact.vm, fact.incarnation): fact.value
        for fact in facts.of_kind(DEMAND_KIND, now_s)
        if isinstance(fact.value, Demand)
    }


def required_ppm(limit: BudgetLimit, demand_per_s: float) -> int:
    """Return the share, in parts per million, whose rate covers the demand plus headroom."""
    rate_per_s = max(limit.rate_per_s, 1e-9)
    return min(
        FULL_SHARE_PPM, ceil(DEMAND_HEADROOM_FACTOR * demand_per_s / rate_per_s * FULL_SHARE_PPM)
    )
