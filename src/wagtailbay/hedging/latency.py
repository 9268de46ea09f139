"""Quantiles of the recent latencies of each route, in bounded memory."""

from math import ceil, log

from attrs import define, field

from wagtailbay.hedging.const import (
    BUCKET_FACTOR,
    BUCKETS,
    LATENCY_HALF_LIFE_S,
    MAX_ROUTES,
    MIN_LATENCIES,
    QUANTILE_REFRESH_S,
)

# New latencies get this weight at most, before all weights are scaled down.
MAX_WEIGHT = 1e6


@define
class LatencyEstimate:
    """Weights of latencies in logarithmic buckets; those of older latencies decay.

    Attributes:
        weights: Weight of each bucket, relative to a latency at ``base_s``.
        base_s: Time at which a latency has weight 1.
    """

    base_s: float
    weights: list[float] = field(factory=lambda: [0.0] * BUCKETS)
    total: float = 0.0
    _computed_s: float = field(default=float("-inf"), init=False)
    _quantile_ms: float | None = field(default=None, init=False)

    def _weight(self, now_s: float) -> float:
        return 2.0 ** ((now_s - self.base_s) / LATENCY_HALF_LIFE_S)

    def record(self, latency_ms: float, now_s: float) -> None:
        """Add a latency."""
        weight = self._weight(now_s)
        if weight > MAX_WEIGHT:
            self.weights = [other / weight for other in self.weights]
            self.total /= weight
            self.base_s, weight = now_s, 1.0
        bucket = ceil(log(max(1.0, latency_ms)) / log(BUCKET_FACTOR))
        self.weights[min(bucket, BUCKETS - 1)] += weight
        self.total += weight

    def quantile_ms(self, quantile: float, now_s: float) -> float | None:
        """Return the upper bound of the quantile's bucket; None with too few recent latencies."""
        if now_s - self._computed_s >= QUANTILE_REFRESH_S:
            self._computed_s = now_s
            self._quantile_ms = self._compute(quantile, now_s)
        return self._quantile_ms

    def _compute(self, quantile: float, now_s: float) -> float | None:
        if self.total < MIN_LATENCIES * self._weight(now_s):
            return None
        left = quantile * self.total
        for bucket, weight in enumerate(self.weights):
            left -= weight
            if left <= 0:
                return BUCKET_FACTOR**bucket
        return BUCKET_FACTOR ** (BUCKETS - 1)


@define
class RouteLatencies:
    """Latency estimates by route; the one unused for longest is dropped beyond MAX_ROUTES."""

    estimates: dict[str, LatencyEstimate] = field(factory=dict)

    def record(self, route: str, latency_ms: float, now_s: float) -> None:
        """Add the latency of an attempt."""
        estimate = self.estimates.pop(route, None) or LatencyEstimate(now_s)
        self.estimates[route] = estimate
        if len(self.estimates) > MAX_ROUTES:
            del self.estimates[next(iter(self.estimates))]
        estimate.record(latency_ms, now_s)

    def quantile_ms(self, route: str, quantile: float, now_s: float) -> float | None:
        """Return a quantile of a route's recent latencies, None if too few are known."""
        estimate = self.estimates.get(route)
        return None if estimate is None else estimate.quantile_ms(quantile, now_s)
