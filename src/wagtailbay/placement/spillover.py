"""Limit how fast the share of requests sent to other regions changes."""

from attrs import define, field

from wagtailbay.placement.const import (
    MAX_OBSERVED_GAP_S,
    NO_LOCAL_TARGETS_STEP_PER_S,
    SPARE_SPILLOVER_CREDIT,
    SPILLOVER_DEMAND_HALF_LIFE_S,
    SPILLOVER_STEP_FRACTION_PER_S,
)
from wagtailbay.placement.models import PlacementQuery, SelectionTurn


@define
class SpilloverLimiter:
    """Send a share of one service's requests to other regions that follows the demand gradually.

    The share also falls gradually, since a sudden return would shift as much traffic as a sudden
    start.

    Attributes:
        step_per_s: Maximum change of the share per second.
        share: Current share of requests sent to other regions.
        demand: Moving average of the share of requests without local capacity.
        credit: Accumulated fraction of a request to send to another region.
        updated_s: When the last request was observed.
    """

    step_per_s: float = 0.04
    share: float = 0.0
    demand: float = 0.0
    credit: float = 0.0
    updated_s: float | None = None

    def observe(self, lacks_capacity: bool, no_local_targets: bool, now_s: float) -> None:
        """Record whether a request found no local capacity, and adjust the share."""
        gap_s = 0.0 if self.updated_s is None else max(0.0, now_s - self.updated_s)
        elapsed_s = min(MAX_OBSERVED_GAP_S, gap_s)
        self.updated_s = now_s
        weight = 1 - 0.5 ** (max(elapsed_s, 0.001) / SPILLOVER_DEMAND_HALF_LIFE_S)
        self.demand += weight * ((1.0 if lacks_capacity else 0.0) - self.demand)
        step = elapsed_s * (NO_LOCAL_TARGETS_STEP_PER_S if no_local_targets else self.step_per_s)
        goal = 1.0 if no_local_targets else self.demand
        self.share += max(-elapsed_s * self.step_per_s, min(step, goal - self.share))

    def admit(self, min_credit: float = 1.0) -> bool:
        """Return whether the next request goes to another region, and consume the credit for it."""
        self.credit += self.share
        if self.credit < min_credit:
            return False
        self.credit -= 1.0
        return True

    def follow(self, share: float, now_s: float) -> None:
        """Take over a share that was planned, from which this limiter goes on without a plan."""
        self.share = self.demand = share
        self.updated_s = now_s


@define
class SpilloverLimiters:
    """Holds the limiter of each service.

    Attributes:
        max_region_shift: Share of a region's requests that may change the region in which they run
            from one window of 2 s to the next.
    """

    max_region_shift: float
    by_service: dict[str, SpilloverLimiter] = field(factory=dict)

    def of(self, service: str) -> SpilloverLimiter:
        """Return the limiter of a service."""
        limiter = self.by_service.get(service)
        if limiter is None:
            step_per_s = SPILLOVER_STEP_FRACTION_PER_S * self.max_region_shift
            limiter = self.by_service[service] = SpilloverLimiter(step_per_s)
        return limiter

    def admit(
        self,
        query: PlacementQuery,
        lacks_capacity: bool,
        has_local: bool,
        now_s: float,
        *,
        is_selective: bool = False,
    ) -> bool:
        """Return whether to try the other regions for a request.

        Requests restricted to certain regions and retries don't count as spillover demand: the
        former may be barred from this region, and the latter have lost their preferred target.
        Neither shows how much capacity this region has.

        Args:
            is_selective: Whether requests that lack capacity go first. The others take only credit
                that is left over, which keeps the share falling gradually.
        """
        if query.allowed_regions or query.excluded:
            return lacks_capacity
        if query.turn is SelectionTurn.AGAIN:
            return lacks_capacity and not has_local
        limiter = self.of(query.service)
        limiter.observe(lacks_capacity, not has_local, now_s)
        min_credit = SPARE_SPILLOVER_CREDIT if is_selective and not lacks_capacity else 1.0
        return limiter.admit(min_credit) or (lacks_capacity and not has_local)
