"""Decide when a second attempt is due and whether the limits allow it."""

from typing import Protocol

from attrs import define, field

from wagtailbay.hedging.const import (
    HEDGE_BURST,
    MAX_HEDGE_UTILIZATION,
    MIN_DELAY_GOAL_FRACTION,
    REFUSAL_MEMORY_S,
    URGENT_RESERVE_FRACTION,
)
from wagtailbay.hedging.latency import RouteLatencies
from wagtailbay.hedging.models import HedgeConditions, HedgeDenial, HedgeSettings


class TokenBudget(Protocol):
    """Budget of the service's retries."""

    def take(self) -> bool:
        """Take a token; return False if none is available."""


@define
class HedgePlanner:
    """Plans the second attempts of this VM.

    Attributes:
        tokens: Second attempts that the share allows now, by service.
        refused_s: Time of the last refusal for lack of capacity, by service.
    """

    settings: HedgeSettings = field(factory=HedgeSettings)
    latencies: RouteLatencies = field(factory=RouteLatencies)
    tokens: dict[str, float] = field(factory=dict)
    refused_s: dict[str, float] = field(factory=dict)

    @property
    def enabled(self) -> bool:
        """Return whether requests may get second attempts."""
        return self.settings.share > 0

    def record_request(self, service: str) -> None:
        """Add the share of one request."""
        tokens = self.tokens.get(service, 0.0) + self.settings.share
        self.tokens[service] = min(HEDGE_BURST, tokens)

    def record_latency(self, route: str, latency_ms: float, now_s: float) -> None:
        """Add the latency of an attempt, or for how long one was awaited in vain."""
        self.latencies.record(route, latency_ms, now_s)

    def record_refusal(self, service: str, now_s: float) -> None:
        """Record that a request found no capacity."""
        self.refused_s[service] = now_s

    def delay_ms(self, route: str, latency_goal_ms: float, now_s: float) -> float | None:
        """Return how long to wait for the first attempt, None if latencies are not known."""
        quantile_ms = self.latencies.quantile_ms(route, self.settings.quantile, now_s)
        if quantile_ms is None:
            return None
        return max(quantile_ms, MIN_DELAY_GOAL_FRACTION * latency_goal_ms)

    def admit(
        self, service: str, conditions: HedgeConditions, retry_budget: TokenBudget, now_s: float
    ) -> HedgeDenial | None:
        """Take the tokens for a second attempt; return why it must not be sent."""
        if not conditions.may_send:
            return HedgeDenial.TOO_LATE
        if conditions.has_queue:
            return HedgeDenial.QUEUE
        if now_s - self.refused_s.get(service, float("-inf")) < REFUSAL_MEMORY_S:
            return HedgeDenial.REFUSALS
        if conditions.utilization > MAX_HEDGE_UTILIZATION:
            return HedgeDenial.UTILIZATION
        reserve = URGENT_RESERVE_FRACTION * HEDGE_BURST if conditions.priority > 0 else 0.0
        if self.tokens.get(service, 0.0) < 1.0 + reserve:
            return HedgeDenial.SHARE
        if not retry_budget.take():
            return HedgeDenial.RETRY_BUDGET
        self.tokens[service] -= 1.0
        return None
