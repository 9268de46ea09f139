"""Determine how many requests targets may hold."""

from collections.abc import Callable
from statistics import median

from attrs import define

from wagtailbay.placement.const import (
    LATENCY_GOAL_SHARE,
    MAX_UTILIZATION,
    MIN_UTILIZATION,
    SLOW_TARGET_LATENCY_FACTOR,
    SLOW_TARGET_UTILIZATION,
)
from wagtailbay.placement.load import TargetLoad, mean_utilization
from wagtailbay.placement.models import PlacementQuery
from wagtailbay.registry import RegisteredTarget


def compute_max_utilization(query: PlacementQuery, median_ms: float | None) -> float:
    """Return the utilization, queue included, at which answers still meet the latency goal."""
    if not median_ms:
        return MIN_UTILIZATION
    return min(
        MAX_UTILIZATION,
        max(MIN_UTILIZATION, LATENCY_GOAL_SHARE * query.latency_goal_ms / median_ms),
    )


@define
class TargetRoom:
    """Compares the load of targets with what they may hold."""

    load_of: Callable[[RegisteredTarget], TargetLoad]

    def median_ms(self, targets: list[RegisteredTarget], now_s: float) -> float | None:
        """Return the median of the targets' latencies, None if none is known."""
        known = [self.load_of(target).recent_latency_ms(now_s) for target in targets]
        latencies = [latency_ms for latency_ms in known if latency_ms is not None]
        return median(latencies) if latencies else None

    def mean_utilization(self, targets: list[RegisteredTarget], now_s: float) -> float:
        """Return the load of the targets divided by their slots."""
        return mean_utilization(targets, self.load_of, now_s)

    def capacity(
        self,
        target: RegisteredTarget,
        max_utilization: float,
        median_ms: float | None,
        now_s: float,
    ) -> float:
        """Return how many requests a target may hold, fewer if it is slow for its service."""
        slots = max(1, target.entry.slots)
        target_load = self.load_of(target)
        latency_ms = target_load.recent_latency_ms(now_s)
        if latency_ms and median_ms and latency_ms > SLOW_TARGET_LATENCY_FACTOR * median_ms:
            return slots * min(max_utilization, SLOW_TARGET_UTILIZATION)
        # A queue at a target that reports slow work takes as much longer.
        queueing = max(1.0, max_utilization / max(1.0, target_load.pace(now_s)))
        return slots * min(max_utilization, queueing)

    def has_capacity(
        self,
        target: RegisteredTarget,
        max_utilization: float,
        median_ms: float | None,
        now_s: float,
    ) -> bool:
        """Return whether a target can accept one more request."""
        target_load = self.load_of(target)
        if target_load.is_shedding(now_s):
            return False
        return target_load.has_capacity(
            self.capacity(target, max_utilization, median_ms, now_s), now_s
        )
