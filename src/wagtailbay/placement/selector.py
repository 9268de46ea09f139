"""Select a target: the preferred one of the object, then a fallback, then another region."""

import random
from collections.abc import Callable, Mapping

from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.placement.cold_start import ColdStartLimiter
from wagtailbay.placement.const import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
)
from wagtailbay.placement.demand import ObjectDemand
from wagtailbay.placement.load import TargetLoad, accepting_targets
from wagtailbay.placement.models import (
    LoadReport,
    Placement,
    PlacementFailure,
    PlacementQuery,
    SelectionTurn,
    TargetOutcome,
    VmLocation,
)
from wagtailbay.placement.placer import TargetPlacer
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
from wagtailbay.placement.room import TargetRoom
from wagtailbay.placement.spillover import SpilloverLimiters
from wagtailbay.placement.timing import ExpectedTimes
from wagtailbay.placement.warmth import RecentObjects, key_of
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
        times: Expected times of requests at the targets, where these report their load.
        demand: Rates of the objects at this VM.
        recent: Objects that the targets handled for this VM lately.
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
    location: VmLocation = field(init=False)
    room: TargetRoom = field(init=False)
    times: ExpectedTimes = field(init=False)
    placer: TargetPlacer = field(init=False)
    recent: RecentObjects = field(factory=RecentObjects)
    demand: ObjectDemand = field(factory=ObjectDemand)

    def __attrs_post_init__(self) -> None:
        """Create the limiters with the requirements of the deployment."""
        self.spillover_limiters = SpilloverLimiters(self.requirements.max_region_shift)
        self.room = TargetRoom(self.load_of)
        self.location = VmLocation(self.availability_zone, self.regions)
        self.times = ExpectedTimes(self.load_of, self.location)
        self.placer = TargetPlacer(
            self.location,
            self.services,
            self.cold_limiter,
            self.random,
            self.load_of,
            self.room,
            self.times,
            self.recent,
            self.demand,
        )

    @property
    def region(self) -> str:
        """Return the region of this VM, or an empty string if its zone is not mapped."""
        return self.location.region

    def load_of(self, target: RegisteredTarget) -> TargetLoad:
        """Return the load state of one run of a target, which a restart replaces."""
        key = key_of(target)
        load = self.loads.get(key)
        if load is None:
            load = self.loads[key] = TargetLoad()
        return load

    def select(self, query: PlacementQuery, now_s: float) -> Result[Placement, PlacementFailure]:
        """Select a target and count the request as in flight there."""
        record_demand(self.region_plan, query, now_s)
        is_new = query.turn is not SelectionTurn.AGAIN and not query.excluded
        if query.affinity is not None and is_new:
            self.demand.record(query.service, query.affinity, now_s)
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
        median_ms = self.room.median_ms(candidates, now_s)
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
                return self.placer.place_remote(query, targets, median_ms, False, now_s)
            placed = self.placer.place_local(query, targets, median_ms, now_s)
            if placed is None and query.affinity is None:
                placed = self.placer.place_queued(query, targets, median_ms, now_s)
            if placed is None or placed.region == planned:
                return placed
            holds_object = placed.holds_object and self._keeps_objects(query, placed, now_s)
            return evolve(placed, holds_object=holds_object)

        def is_doubtful(placement: Placement) -> bool:
            return self.times.is_doubtful(query, placement, now_s)

        away_share = self.region_plan.away_share(query.service)
        self.spillover_limiters.of(query.service).follow(away_share, now_s)
        placements = place_by_plan(
            self.region_plan,
            planned,
            self.region,
            query,
            by_region,
            self.load_of,
            place,
            is_doubtful,
            now_s,
        )
        return self.times.best(query, placements, now_s)

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
            placed = self.placer.place_local(query, local, median_ms, now_s)
        if remote and (local or not is_behind):
            placed = self._place_in_either(query, placed, bool(local), remote, median_ms, now_s)
        if placed is None and query.affinity is None and not is_behind:
            placed = self.placer.place_queued(query, local or remote, median_ms, now_s)
        return placed

    def _place_in_either(
        self,
        query: PlacementQuery,
        placed: Placement | None,
        has_local: bool,
        remote: list[RegisteredTarget],
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the given local target, or one of another region if the spillover allows it.

        Args:
            placed: The target of this region, None if none has capacity.
        """
        is_known = self.times.is_known(query, now_s)
        faster = None
        if placed is not None and is_known and not query.excluded and not query.allowed_regions:
            faster = self._faster_remote(query, placed, remote, median_ms, now_s)
        wants_remote = placed is None or faster is not None
        if not self.spillover_limiters.admit(
            query, wants_remote, has_local, now_s, is_selective=is_known
        ):
            return placed
        return (
            faster or self.placer.place_remote(query, remote, median_ms, has_local, now_s) or placed
        )

    def _faster_remote(
        self,
        query: PlacementQuery,
        placed: Placement,
        remote: list[RegisteredTarget],
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return a target of another region that serves a request faster than a local one."""
        if not self.times.is_doubtful(query, placed, now_s):
            return None
        spilled = self.placer.place_remote(query, remote, median_ms, True, now_s)
        if spilled is None or not spilled.holds_object:
            return None
        return spilled if self.times.best(query, [placed, spilled], now_s) is spilled else None

    def _keeps_objects(self, query: PlacementQuery, placed: Placement, now_s: float) -> bool:
        """Return whether the preferred target of a region has probably handled the object lately.

        A region that a plan relieves sends some objects away, and their targets drop them.
        """
        if not self.region_plan.is_sender(query.service, placed.region, now_s):
            return True
        return self.placer.handled_lately(placed.target, query, now_s)

    def _admissible(self, query: PlacementQuery, now_s: float) -> list[RegisteredTarget]:
        """Return the targets at which a request may run, whatever their state."""
        return [
            target
            for target in self.registry.usable(query.service, now_s)
            if query.admits(target, self.location.region_of(target))
        ]

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
            if report is not None:
                self._record_work(placement, latency_ms, report, now_s)
        if pause_ms is not None:
            target_load.pause(pause_ms, now_s)
            log_event("target_paused", target=target.entry.target, pause_ms=round(pause_ms))
        if target_load.is_ejected(now_s) and not was_ejected:
            log_event("target_ejected", target=target.entry.target, sign=outcome.value)
        if outcome is TargetOutcome.UNREACHABLE:
            self.mark_restarting(target, now_s)

    def _record_work(
        self, placement: Placement, latency_ms: float, report: LoadReport, now_s: float
    ) -> None:
        """Learn from an answered request that named its object."""
        if placement.affinity is not None:
            self.recent.record(key_of(placement.target), placement.affinity, now_s)
            self.times.record(placement, latency_ms, report, now_s)

    def mark_restarting(self, target: RegisteredTarget, now_s: float) -> None:
        """Mark a target that exited as cold, since it may restart before its entry is updated."""
        rule = self.services().get(target.entry.service)
        if rule is not None:
            target.cold_until_s = max(target.cold_until_s, now_s + rule.cold_ms / 1000)

    def prune(self) -> None:
        """Remove the state of targets that the registry no longer holds."""
        known = {key_of(target) for target in self.registry.targets.values()}
        for key in [
            key for key in self.loads if key not in known and not self.loads[key].own_in_flight
        ]:
            del self.loads[key]
        self.recent.prune(known)
        self.cold_limiter.prune({name for name, _ in known})
