"""Select a target: the preferred one of the object, then a fallback, then another region."""

import random
from collections.abc import Callable, Mapping
from statistics import median

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.placement.cold_start import ColdStartLimiter
from wagtailbay.placement.const import (
    IDLE_UTILIZATION,
    LATENCY_GOAL_SHARE,
    MAX_EJECTED_SHARE,
    MAX_RETRY_AFTER_MS,
    MAX_UTILIZATION,
    MIN_RETRY_AFTER_MS,
    MIN_TARGETS_PER_ZONE,
    MIN_UTILIZATION,
    REMOTE_UTILIZATION_BUSY,
    REMOTE_UTILIZATION_IDLE,
    SLOW_TARGET_LATENCY_FACTOR,
    SLOW_TARGET_UTILIZATION,
    SPILLOVER_STEP_FRACTION_PER_S,
)
from wagtailbay.placement.load import TargetLoad
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
    compute_busy_fraction,
    max_fallback_utilization,
    through_first_warm,
)
from wagtailbay.placement.spillover import SpilloverLimiter
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
        spillover_limiters: Spillover state by service.
    """

    availability_zone: str
    regions: Mapping[str, str]
    registry: TargetRegistry
    services: Callable[[], Mapping[str, ServiceRule]]
    cold_limiter: ColdStartLimiter
    random: random.Random
    requirements: FleetRequirements = field(factory=FleetRequirements)
    loads: dict[tuple[str, int], TargetLoad] = field(factory=dict)
    spillover_limiters: dict[str, SpilloverLimiter] = field(factory=dict)

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
        selected = self._select(query, now_s)
        if isinstance(selected, Ok):
            self.load_of(selected.ok_value.target).start()
        return selected

    def _select(self, query: PlacementQuery, now_s: float) -> Result[Placement, PlacementFailure]:
        admissible = self._admissible(query, now_s)
        if not admissible:
            return Err(PlacementFailure.unusable(MAX_RETRY_AFTER_MS))
        candidates = self._candidates(admissible, now_s)
        if not candidates:
            paused_until_s = min(self.load_of(target).paused_until_s for target in admissible)
            pause_ms = max(MIN_RETRY_AFTER_MS, (paused_until_s - now_s) * 1000)
            return Err(PlacementFailure.paused(pause_ms))
        median_ms = self._median_ms(candidates, now_s)
        local_targets = [c for c in candidates if self._region_of(c) == self.region]
        remote_targets = [c for c in candidates if self._region_of(c) != self.region]
        is_behind = query.turn is SelectionTurn.BEHIND
        placed = None
        if local_targets and not is_behind:
            placed = self._place_local(query, local_targets, median_ms, now_s)
        if (
            remote_targets
            and self._should_spill_over(query, placed is None, bool(local_targets), now_s)
            and (local_targets or not is_behind)
        ):
            placed = (
                self._place_remote(query, remote_targets, median_ms, bool(local_targets), now_s)
                or placed
            )
        if placed is None and query.affinity is None and not is_behind:
            placed = self._place_queued(query, local_targets or remote_targets, median_ms, now_s)
        if placed is not None:
            return Ok(placed)
        return Err(PlacementFailure.full(self.retry_after_ms(median_ms)))

    def _should_spill_over(
        self, query: PlacementQuery, lacks_capacity: bool, has_local: bool, now_s: float
    ) -> bool:
        """Return whether to try the other regions for a request.

        Requests restricted to certain regions and retries don't count as spillover demand: the
        former may be barred from this region, and the latter have lost their preferred target.
        Neither shows how much capacity this region has.
        """
        if query.allowed_regions or query.excluded:
            return lacks_capacity
        if query.turn is SelectionTurn.AGAIN:
            return lacks_capacity and not has_local
        limiter = self.spillover_limiters.get(query.service)
        if limiter is None:
            step_per_s = SPILLOVER_STEP_FRACTION_PER_S * self.requirements.max_region_shift
            limiter = self.spillover_limiters[query.service] = SpilloverLimiter(step_per_s)
        limiter.observe(lacks_capacity, not has_local, now_s)
        return limiter.admit() or (lacks_capacity and not has_local)

    def _admissible(self, query: PlacementQuery, now_s: float) -> list[RegisteredTarget]:
        """Return the targets at which a request may run, whatever their state."""
        return [
            target
            for target in self.registry.usable(query.service, now_s)
            if target.entry.target not in query.excluded
            and (query.version is None or query.version.admits(target.entry.version))
            and (not query.allowed_regions or self._region_of(target) in query.allowed_regions)
        ]

    def _candidates(
        self, admissible: list[RegisteredTarget], now_s: float
    ) -> list[RegisteredTarget]:
        """Return the targets that accept requests, without ejected ones if most are healthy."""
        usable = [target for target in admissible if not self.load_of(target).is_paused(now_s)]
        healthy = [target for target in usable if not self.load_of(target).is_ejected(now_s)]
        if len(healthy) < (1 - MAX_EJECTED_SHARE) * len(usable):
            return usable
        return healthy

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
        """Return whether a target is warm or its cold-start limit admits one more request."""
        rule = self.services().get(target.entry.service)
        if not target.is_cold(now_s) or rule is None or rule.cold_per_s <= 0:
            return True
        if self._region_of(target) != self.region:
            return False
        return self.cold_limiter.take(target.entry.target, rule.cold_per_s, now_s)

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
            busy_fraction = compute_busy_fraction(self._mean_utilization(targets, now_s))
            max_utilization = REMOTE_UTILIZATION_IDLE + busy_fraction * (
                REMOTE_UTILIZATION_BUSY - REMOTE_UTILIZATION_IDLE
            )
        else:
            max_utilization = self._max_utilization(query, median_ms)
        for target in self._ordered(query, targets):
            has_capacity = self._has_capacity(target, max_utilization, median_ms, now_s)
            if has_capacity and not target.is_cold(now_s):
                return self._placement(target, PlacementReason.SPILLED, now_s)
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
        if pause_ms is not None:
            target_load.pause(pause_ms, now_s)
            log_event("target_paused", target=target.entry.target, pause_ms=round(pause_ms))
        if target_load.is_ejected(now_s) and not was_ejected:
            log_event("target_ejected", target=target.entry.target, sign=outcome.value)
        if outcome is TargetOutcome.UNREACHABLE:
            self.mark_restarting(target, now_s)

    def in_flight(self) -> dict[str, int]:
        """Return the number of requests that this VM has in flight at each target."""
        counts: dict[str, int] = {}
        for (name, _), target_load in self.loads.items():
            if target_load.own_in_flight:
                counts[name] = counts.get(name, 0) + target_load.own_in_flight
        return counts

    def update_peer_in_flight(self, in_flight: Mapping[str, int], senders: int) -> None:
        """Store the number of requests that the other VMs have in flight at each target."""
        for target in self.registry.targets.values():
            count = in_flight.get(target.entry.target, 0)
            self.load_of(target).record_peer_in_flight(count, self.random.random(), senders)

    def clear_peer_in_flight(self) -> None:
        """Discard the counts of the other VMs, so that only load reports of targets are used."""
        for target_load in self.loads.values():
            target_load.peer_in_flight = None

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
