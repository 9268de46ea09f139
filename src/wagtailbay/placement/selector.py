"""Select a target: the preferred one of the object, then a fallback, then another region."""

import random
from collections.abc import Callable, Mapping
from statistics import median

from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.placement.cold_start import ColdStartLimiter
from wagtailbay.placement.const import (
    IDLE_UTILIZATION,
    LATENCY_GOAL_SHARE,
    MAX_RETRY_AFTER_MS,
    MAX_UTILIZATION,
    MIN_RETRY_AFTER_MS,
    MIN_TARGETS_PER_ZONE,
    MIN_UTILIZATION,
    SLOW_TARGET_LATENCY_FACTOR,
    SLOW_TARGET_UTILIZATION,
)
from wagtailbay.placement.load import TargetLoad, accepting_targets
from wagtailbay.placement.models import (
    LoadReport,
    Placement,
    PlacementFailure,
    PlacementQuery,
    PlacementReason,
    SelectionTurn,
    TargetOutcome,
)
from wagtailbay.placement.ranking import (
    affinity_rank,
    max_fallback_utilization,
    max_remote_utilization,
    through_first_warm,
)
from wagtailbay.placement.regional import (
    NoRegionPlan,
    RegionPlan,
    TargetsByRegion,
    group_by_region,
    place_by_plan,
    planned_region,
    record_demand,
    record_placed,
    remote_targets,
)
from wagtailbay.placement.spillover import SpilloverLimiters
from wagtailbay.registry import RegisteredTarget, TargetRegistry
from wagtailbay.requirements import FleetRequirements
from wagtailbay.routing import ServiceRule


@define
class TargetSelector:
    """Select targets for the requests of one VM.

    Attributes:
        availability_zone: The availability zone of this VM.
        regions: Maps each availability zone to its region.
        services: Returns the service rules of the active routing table, by service name.
        loads: Load and health state by target identity and start time.
        region_plan: Decides which requests run in other regions, where regions are uneven.
        spillover_limiters: Decide the same by this VM's own view, without a plan.
    """

    availability_zone: str
    regions: Mapping[str, str]
    registry: TargetRegistry
    services: Callable[[], Mapping[str, ServiceRule]]
    cold_limiter: ColdStartLimiter
    random: random.Random
    requirements: FleetRequirements = field(factory=FleetRequirements)
    loads: dict[tuple[str, int], TargetLoad] = field(factory=dict)
    region_plan: RegionPlan = field(factory=NoRegionPlan)
    spillover_limiters: SpilloverLimiters = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the limiters with the requirements of the deployment."""
        self.spillover_limiters = SpilloverLimiters(self.requirements.max_region_shift)

    @property
    def region(self) -> str:
        """Return the region of this VM, or an empty string if its zone is not mapped."""
        return self.regions.get(self.availability_zone, "")

    def load_of(self, target: RegisteredTarget) -> TargetLoad:
        """Return the load state of one run of a target, which a restart replaces."""
        key = (target.entry.target, target.entry.born_unix_ms)
        load = self.loads.get(key)
        if load is None:
            load = self.loads[key] = TargetLoad()
        return load

    def select(self, query: PlacementQuery, now_s: float) -> Result[Placement, PlacementFailure]:
        """Select a target and count the request as in flight there."""
        record_demand(self.region_plan, query, now_s)
        selected = self._select(query, now_s)
        if isinstance(selected, Ok):
            self.load_of(selected.ok_value.target).start()
            record_placed(
                self.region_plan, query, selected.ok_value, self.registry, self.regions, now_s
            )
        return selected

    def _select(self, query: PlacementQuery, now_s: float) -> Result[Placement, PlacementFailure]:
        admissible = self._admissible(query, now_s)
        if not admissible:
            return Err(PlacementFailure.unusable(MAX_RETRY_AFTER_MS))
        candidates = accepting_targets(admissible, self.load_of, now_s)
        if not candidates:
            paused_until_s = min(self.load_of(target).paused_until_s for target in admissible)
            pause_ms = max(MIN_RETRY_AFTER_MS, (paused_until_s - now_s) * 1000)
            return Err(PlacementFailure.paused(pause_ms))
        median_ms = self._median_ms(candidates, now_s)
        by_region = group_by_region(candidates, self.regions)
        planned = planned_region(self.region_plan, query, self.region in by_region, now_s)
        if planned is None:
            placed = self._place_unplanned(query, by_region, median_ms, now_s)
        else:
            placed = self._place_planned(query, by_region, planned, median_ms, now_s)
        if placed is not None:
            return Ok(placed)
        return Err(PlacementFailure.full(self.retry_after_ms(median_ms)))

    def _place_planned(
        self,
        query: PlacementQuery,
        by_region: TargetsByRegion,
        planned: str,
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return a target in the region that the plan gives to a request."""

        def place(targets: list[RegisteredTarget]) -> Placement | None:
            if self.region not in by_region:
                return self._place_remote(query, targets, median_ms, False, now_s)
            placed = self._place_local(query, targets, median_ms, now_s)
            if placed is None and query.affinity is None:
                placed = self._place_queued(query, targets, median_ms, now_s)
            return placed

        away_share = self.region_plan.away_share(query.service)
        self.spillover_limiters.of(query.service).follow(away_share, now_s)
        return place_by_plan(
            self.region_plan, planned, self.region, query, by_region, self.load_of, place, now_s
        )

    def _place_unplanned(
        self,
        query: PlacementQuery,
        by_region: TargetsByRegion,
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return a target of this region or, as this VM's demand requires it, of another one."""
        local = by_region.get(self.region, [])
        remote = remote_targets(self.region_plan, query.service, self.region, by_region, now_s)
        is_behind = query.turn is SelectionTurn.BEHIND
        placed = None
        if local and not is_behind:
            placed = self._place_local(query, local, median_ms, now_s)
        spills = remote and self.spillover_limiters.admit(query, placed is None, bool(local), now_s)
        if spills and (local or not is_behind):
            placed = self._place_remote(query, remote, median_ms, bool(local), now_s) or placed
        if placed is None and query.affinity is None and not is_behind:
            placed = self._place_queued(query, local or remote, median_ms, now_s)
        return placed

    def _admissible(self, query: PlacementQuery, now_s: float) -> list[RegisteredTarget]:
        """Return the targets at which a request may run, whatever their state."""
        return [
            target
            for target in self.registry.usable(query.service, now_s)
            if query.admits(target, self._region_of(target))
        ]

    def _region_of(self, target: RegisteredTarget) -> str:
        return self.regions.get(target.entry.availability_zone, "")

    def _median_ms(self, targets: list[RegisteredTarget], now_s: float) -> float | None:
        known = [self.load_of(target).recent_latency_ms(now_s) for target in targets]
        latencies = [latency_ms for latency_ms in known if latency_ms is not None]
        return median(latencies) if latencies else None

    def _capacity(
        self,
        target: RegisteredTarget,
        max_utilization: float,
        median_ms: float | None,
        now_s: float,
    ) -> float:
        """Return how many requests a target may hold, fewer if it is slow for its service."""
        slots = max(1, target.entry.slots)
        latency_ms = self.load_of(target).recent_latency_ms(now_s)
        if latency_ms and median_ms and latency_ms > SLOW_TARGET_LATENCY_FACTOR * median_ms:
            return slots * min(max_utilization, SLOW_TARGET_UTILIZATION)
        return slots * max_utilization

    def _has_capacity(
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
            self._capacity(target, max_utilization, median_ms, now_s), now_s
        )

    def _placement(
        self, target: RegisteredTarget, reason: PlacementReason, now_s: float
    ) -> Placement:
        load = self.load_of(target).load(now_s)
        return Placement(target, self._region_of(target), load, reason)

    def _max_utilization(self, query: PlacementQuery, median_ms: float | None) -> float:
        """Return the utilization, queue included, at which answers still meet the latency goal."""
        if not median_ms:
            return MIN_UTILIZATION
        return min(
            MAX_UTILIZATION,
            max(MIN_UTILIZATION, LATENCY_GOAL_SHARE * query.latency_goal_ms / median_ms),
        )

    def _ordered(
        self, query: PlacementQuery, targets: list[RegisteredTarget]
    ) -> list[RegisteredTarget]:
        if query.affinity is None:
            shuffled = self.random.sample(targets, len(targets))
            return sorted(
                shuffled, key=lambda t: self.load_of(t).own_in_flight / max(1, t.entry.slots)
            )
        affinity = query.affinity
        return sorted(targets, key=lambda target: affinity_rank(affinity, target.entry.target))

    def _place_local(
        self,
        query: PlacementQuery,
        targets: list[RegisteredTarget],
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the best-ranked target of this region that has capacity."""
        mean_utilization = self._mean_utilization(targets, now_s)
        fallback_utilization = max_fallback_utilization(mean_utilization)
        preferred_utilization = (
            self._max_utilization(query, median_ms)
            if query.affinity is not None
            else fallback_utilization
        )
        ordered = self._ordered(query, targets)
        prefers_zone = (
            query.is_large and query.affinity is not None and mean_utilization < IDLE_UTILIZATION
        )
        preferred = self._preferred(ordered, prefers_zone, now_s)
        names = {target.entry.target for target in preferred}
        fallbacks = [target for target in ordered if target.entry.target not in names]
        for reason, candidates, max_utilization in (
            (PlacementReason.PREFERRED, preferred, preferred_utilization),
            (PlacementReason.OTHER, fallbacks, fallback_utilization),
        ):
            for target in candidates:
                if self._has_capacity(
                    target, max_utilization, median_ms, now_s
                ) and self._admits_while_cold(target, now_s):
                    return self._placement(target, reason, now_s)
        return None

    def _preferred(
        self, ordered: list[RegisteredTarget], prefers_zone: bool, now_s: float
    ) -> list[RegisteredTarget]:
        """Return the preferred targets: the best warm one and the cold ones ranked before it.

        A large exchange prefers the best-ranked target in the VM's own zone. The object is then
        cached in each zone of the region, which costs less than sending its bytes between zones
        unless the service is busy.
        """
        first = through_first_warm(ordered, now_s)
        if not prefers_zone:
            return first
        zone_targets = [t for t in ordered if t.entry.availability_zone == self.availability_zone]
        if len(zone_targets) < MIN_TARGETS_PER_ZONE:
            return first
        zone_targets = through_first_warm(zone_targets, now_s)
        names = {target.entry.target for target in zone_targets}
        return zone_targets + [target for target in first if target.entry.target not in names]

    def _mean_utilization(self, targets: list[RegisteredTarget], now_s: float) -> float:
        """Return the load of the targets divided by their slots."""
        slots = sum(max(1, target.entry.slots) for target in targets)
        return sum(self.load_of(target).load(now_s) for target in targets) / slots

    def _admits_while_cold(self, target: RegisteredTarget, now_s: float) -> bool:
        rule = self.services().get(target.entry.service)
        is_local = self._region_of(target) == self.region
        return self.cold_limiter.admits(target, rule, is_local, now_s)

    def _place_remote(
        self,
        query: PlacementQuery,
        targets: list[RegisteredTarget],
        median_ms: float | None,
        has_local: bool,
        now_s: float,
    ) -> Placement | None:
        """Return a warm target of another region that has spare capacity."""
        if has_local:
            max_utilization = max_remote_utilization(self._mean_utilization(targets, now_s))
        else:
            max_utilization = self._max_utilization(query, median_ms)
        for target in self._ordered(query, targets):
            has_capacity = self._has_capacity(target, max_utilization, median_ms, now_s)
            if has_capacity and not target.is_cold(now_s):
                placed = self._placement(target, PlacementReason.SPILLED, now_s)
                is_partial = bool(query.allowed_regions or query.excluded)
                return evolve(placed, has_local=has_local or is_partial)
        return None

    def _place_queued(
        self,
        query: PlacementQuery,
        targets: list[RegisteredTarget],
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the least utilized warm target if queueing there still meets the latency goal."""
        warm = [target for target in targets if not target.is_cold(now_s)]
        if not warm:
            return None

        max_utilization = self._max_utilization(query, median_ms)

        def utilization_of(target: RegisteredTarget) -> float:
            capacity = self._capacity(target, max_utilization, median_ms, now_s)
            return self.load_of(target).load(now_s) / capacity

        target = min(warm, key=utilization_of)
        if utilization_of(target) >= 1.0:
            return None
        return self._placement(target, PlacementReason.QUEUED, now_s)

    def retry_after_ms(self, median_ms: float | None = None) -> float:
        """Return a retry delay with jitter, which keeps callers from retrying at the same time."""
        base_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, median_ms or 0.0))
        return base_ms * self.random.uniform(0.5, 1.5)

    def finish(
        self,
        placement: Placement,
        outcome: TargetOutcome,
        latency_ms: float,
        report: LoadReport | None,
        now_s: float,
        pause_ms: float | None = None,
    ) -> None:
        """Record the outcome of a request; called exactly once for each placement.

        Args:
            pause_ms: Time for which the target wants no further requests, None if it did not say.
        """
        target = placement.target
        target_load = self.load_of(target)
        was_ejected = target_load.is_ejected(now_s)
        target_load.finish(outcome, latency_ms, report, now_s)
        if outcome is TargetOutcome.ANSWERED:
            service, region = target.entry.service, placement.region
            self.region_plan.record_answer(service, region, latency_ms, report)
        if pause_ms is not None:
            target_load.pause(pause_ms, now_s)
            log_event("target_paused", target=target.entry.target, pause_ms=round(pause_ms))
        if target_load.is_ejected(now_s) and not was_ejected:
            log_event("target_ejected", target=target.entry.target, sign=outcome.value)
        if outcome is TargetOutcome.UNREACHABLE:
            self.mark_restarting(target, now_s)

    def mark_restarting(self, target: RegisteredTarget, now_s: float) -> None:
        """Mark a target that exited as cold, since it may restart before its entry is updated."""
        rule = self.services().get(target.entry.service)
        if rule is not None:
            target.cold_until_s = max(target.cold_until_s, now_s + rule.cold_ms / 1000)

    def prune(self) -> None:
        """Remove the state of targets that the registry no longer holds."""
        known = {
            (name, target.entry.born_unix_ms) for name, target in self.registry.targets.items()
        }
        for key in self.loads.keys() - known:
            if not self.loads[key].own_in_flight:
                del self.loads[key]
        self.cold_limiter.prune({name for name, _ in known})
