"""Estimate how long requests take at targets, and compare targets by it."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.placement.const import (
    LATENCY_GOAL_SHARE,
    MAX_WORK_FACTOR,
    MIN_WORK_SAMPLES,
    REGION_ROUND_TRIP_MS,
    SLOW_PACE,
    WARM_WORK_FRACTION,
    WORK_MAX_AGE_S,
    WORK_WEIGHT,
)
from wagtailbay.placement.load import TargetLoad
from wagtailbay.placement.models import LoadReport, Placement, PlacementQuery, VmLocation
from wagtailbay.registry import RegisteredTarget


@define
class WorkTime:
    """Time that requests of one service take in a slot at the usual pace.

    Attributes:
        mean_ms: Moving average over all requests.
        cold_ms: Moving average of what they would take at targets without their objects.
        samples: Number of requests with a load report of their target.
        updated_s: When the last of them was answered.
    """

    mean_ms: float = 0.0
    cold_ms: float = 0.0
    samples: int = 0
    updated_s: float = float("-inf")

    def record(
        self, latency_ms: float, holds_object: bool, report: LoadReport, pace: float, now_s: float
    ) -> None:
        """Add an answered request; the time that it waited is estimated from the target's queue."""
        slots = max(1, report.slots)
        work_ms = latency_ms * slots / max(slots, report.running + report.waiting) / pace
        if self.samples >= MIN_WORK_SAMPLES:
            work_ms = min(work_ms, MAX_WORK_FACTOR * self.mean_ms)
        weight = max(WORK_WEIGHT, 1 / (self.samples + 1))
        self.mean_ms += weight * (work_ms - self.mean_ms)
        cold_ms = work_ms / WARM_WORK_FRACTION if holds_object else work_ms
        self.cold_ms += weight * (cold_ms - self.cold_ms)
        self.samples += 1
        self.updated_s = now_s


@define
class ExpectedTimes:
    """Expected times of requests at the targets that report their load.

    Attributes:
        work: Work time by service.
    """

    load_of: Callable[[RegisteredTarget], TargetLoad]
    location: VmLocation
    work: dict[str, WorkTime] = field(factory=dict)

    def record(
        self, placement: Placement, latency_ms: float, report: LoadReport, now_s: float
    ) -> None:
        """Add an answered request to the work time of its service."""
        target = placement.target
        work = self.work.setdefault(target.entry.service, WorkTime())
        work_ms = max(0.0, latency_ms - self._distance_ms(target))
        work.record(work_ms, placement.holds_object, report, report.pace, now_s)

    def is_known(self, query: PlacementQuery, now_s: float) -> bool:
        """Return whether targets of the service have reported load lately for their objects."""
        work = self.work.get(query.service)
        return (
            query.affinity is not None
            and work is not None
            and work.samples >= MIN_WORK_SAMPLES
            and now_s - work.updated_s < WORK_MAX_AGE_S
        )

    def expected_ms(
        self, service: str, target: RegisteredTarget, holds_object: bool, now_s: float
    ) -> float:
        """Return how long a request probably takes at a target, the way to its region included."""
        work, target_load = self.work[service], self.load_of(target)
        slots = max(1, target.entry.slots)
        waiting = max(0.0, target_load.load(now_s) + 1 - slots)
        own_ms = work.cold_ms * (WARM_WORK_FRACTION if holds_object else 1.0)
        at_target_ms = (waiting / slots * work.mean_ms + own_ms) * target_load.pace(now_s)
        return at_target_ms + self._distance_ms(target)

    def is_doubtful(self, query: PlacementQuery, placement: Placement, now_s: float) -> bool:
        """Return whether a request may be served faster elsewhere.

        At the usual pace, the limits of utilization ensure that a warm target meets the goal.
        """
        if not self.is_known(query, now_s):
            return False
        target = placement.target
        if not placement.holds_object:
            return True
        if self.load_of(target).pace(now_s) < SLOW_PACE:
            return False
        expected_ms = self.expected_ms(query.service, target, True, now_s)
        return expected_ms > LATENCY_GOAL_SHARE * query.latency_goal_ms

    def best(
        self, query: PlacementQuery, placements: list[Placement], now_s: float
    ) -> Placement | None:
        """Return the fastest target that holds the object, the first one if none does.

        An object at a target that has not handled it evicts another one there, so expected times
        do not decide between a target that holds it and others.
        """
        holders = [placement for placement in placements if placement.holds_object]
        if not holders:
            return placements[0] if placements else None
        if len(holders) == 1 or not self.is_known(query, now_s):
            return holders[0]
        return min(
            holders, key=lambda placed: self.expected_ms(query.service, placed.target, True, now_s)
        )

    def _distance_ms(self, target: RegisteredTarget) -> float:
        is_near = self.location.region_of(target) == self.location.region
        return 0.0 if is_near else REGION_ROUND_TRIP_MS
