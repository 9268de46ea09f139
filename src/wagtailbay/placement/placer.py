"""Choose among the targets of one region, or among those of other regions."""

import random
from collections.abc import Callable, Iterator, Mapping

from attrs import define, evolve

from wagtailbay.placement.cold_start import ColdStartLimiter
from wagtailbay.placement.const import (
    IDLE_UTILIZATION,
    MAX_CACHED_UTILIZATION,
    MIN_TARGETS_PER_ZONE,
    WARM_WORK_FRACTION,
)
from wagtailbay.placement.demand import ObjectDemand, compute_replicas
from wagtailbay.placement.load import TargetLoad
from wagtailbay.placement.models import Placement, PlacementQuery, PlacementReason, VmLocation
from wagtailbay.placement.ranking import (
    affinity_rank,
    first_by_region,
    max_fallback_utilization,
    max_remote_utilization,
    through_first_warm,
)
from wagtailbay.placement.room import TargetRoom, compute_max_utilization
from wagtailbay.placement.timing import ExpectedTimes
from wagtailbay.placement.warmth import RecentObjects, key_of
from wagtailbay.registry import RegisteredTarget
from wagtailbay.routing import ServiceRule


@define
class TargetPlacer:
    """Chooses a target with capacity for a request; starts nothing.

    Attributes:
        recent: Objects that the targets handled for this VM lately.
        times: Expected times of requests, where targets report their load.
    """

    location: VmLocation
    services: Callable[[], Mapping[str, ServiceRule]]
    cold_limiter: ColdStartLimiter
    random: random.Random
    load_of: Callable[[RegisteredTarget], TargetLoad]
    room: TargetRoom
    times: ExpectedTimes
    recent: RecentObjects
    demand: ObjectDemand

    def _placement(
        self,
        query: PlacementQuery,
        target: RegisteredTarget,
        reason: PlacementReason,
        holds_object: bool,
        now_s: float,
    ) -> Placement:
        load = self.load_of(target).load(now_s)
        return Placement(
            target,
            self.location.region_of(target),
            load,
            reason,
            affinity=query.affinity,
            holds_object=holds_object,
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

    def place_local(
        self,
        query: PlacementQuery,
        targets: list[RegisteredTarget],
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the best-ranked target of this region that has capacity."""
        mean_utilization = self.room.mean_utilization(targets, now_s)
        fallback_utilization = max_fallback_utilization(mean_utilization)
        preferred_utilization = (
            compute_max_utilization(query, median_ms)
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
        placed = self._first_free(
            query, preferred, PlacementReason.PREFERRED, preferred_utilization, median_ms, now_s
        )
        replicas = self._replicas(query, preferred, fallbacks, now_s)
        if placed is not None and not self.times.is_doubtful(query, placed, now_s):
            is_waiting = placed.load >= placed.target.entry.slots
            if not replicas or not is_waiting:
                return placed
        cached = self._place_cached(query, fallbacks, replicas, median_ms, now_s)
        placements = [found for found in (placed, cached) if found is not None]
        return self.times.best(query, placements, now_s) or self._first_free(
            query, fallbacks, PlacementReason.OTHER, fallback_utilization, median_ms, now_s
        )

    def _first_free(
        self,
        query: PlacementQuery,
        targets: list[RegisteredTarget],
        reason: PlacementReason,
        max_utilization: float,
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the best-ranked target that has capacity."""
        for target in targets:
            if self.room.has_capacity(
                target, max_utilization, median_ms, now_s
            ) and self._admits_while_cold(target, now_s):
                is_preferred = reason is PlacementReason.PREFERRED
                holds_object = is_preferred or self.handled_lately(target, query, now_s)
                return self._placement(query, target, reason, holds_object, now_s)
        return None

    def _place_cached(
        self,
        query: PlacementQuery,
        fallbacks: list[RegisteredTarget],
        replicas: set[str],
        median_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return a target that holds the object though it is not the preferred one."""
        if not self.times.is_known(query, now_s):
            return None
        placements = [
            self._placement(query, target, PlacementReason.CACHED, True, now_s)
            for target in fallbacks
            if (target.entry.target in replicas or self.handled_lately(target, query, now_s))
            and not target.is_cold(now_s)
            and self.room.has_capacity(target, MAX_CACHED_UTILIZATION, median_ms, now_s)
        ]
        return self.times.best(query, placements, now_s)

    def _replicas(
        self,
        query: PlacementQuery,
        preferred: list[RegisteredTarget],
        fallbacks: list[RegisteredTarget],
        now_s: float,
    ) -> set[str]:
        """Return further targets for an object that is requested more than one can serve.

        All VMs of the region measure about the same rate, and so use the same targets.
        """
        if query.affinity is None or not self.times.is_known(query, now_s):
            return set()
        vms = max(1, len(self.cold_limiter.region_vms()))
        rate_per_s = vms * self.demand.per_s(query.service, query.affinity, now_s)
        work_ms = WARM_WORK_FRACTION * self.times.work[query.service].cold_ms
        count = compute_replicas(rate_per_s, work_ms, preferred[-1].entry.slots)
        warm = [target for target in fallbacks if not target.is_cold(now_s)]
        return {target.entry.target for target in warm[: count - 1]}

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
        zone_targets = [
            t for t in ordered if t.entry.availability_zone == self.location.availability_zone
        ]
        if len(zone_targets) < MIN_TARGETS_PER_ZONE:
            return first
        zone_targets = through_first_warm(zone_targets, now_s)
        names = {target.entry.target for target in zone_targets}
        return zone_targets + [target for target in first if target.entry.target not in names]

    def _admits_while_cold(self, target: RegisteredTarget, now_s: float) -> bool:
        """Return whether a target is warm or its cold-start limit admits one more request."""
        rule = self.services().get(target.entry.service)
        is_local = self.location.region_of(target) == self.location.region
        return self.cold_limiter.admits(target, rule, is_local, now_s)

    def place_remote(
        self,
        query: PlacementQuery,
        targets: list[RegisteredTarget],
        median_ms: float | None,
        has_local: bool,
        now_s: float,
    ) -> Placement | None:
        """Return a warm target of another region that has spare capacity."""
        if has_local:
            max_utilization = max_remote_utilization(self.room.mean_utilization(targets, now_s))
        else:
            max_utilization = compute_max_utilization(query, median_ms)
        ordered = [t for t in self._ordered(query, targets) if not t.is_cold(now_s)]
        firsts = first_by_region(ordered, self.location.region_of)
        names = {target.entry.target for target in firsts}
        is_partial = bool(query.allowed_regions or query.excluded)

        def free_among(candidates: list[RegisteredTarget]) -> Iterator[Placement]:
            for target in candidates:
                if self.room.has_capacity(target, max_utilization, median_ms, now_s):
                    holds_object = query.affinity is not None and target.entry.target in names
                    placed = self._placement(
                        query, target, PlacementReason.SPILLED, holds_object, now_s
                    )
                    yield evolve(placed, has_local=has_local or is_partial)

        # The order of all targets divides requests among regions by their number of targets.
        # Without a target in the own region, a small region would be filled otherwise.
        best_ranked = next(free_among(ordered), None)
        if best_ranked is None or not has_local or not self.times.is_known(query, now_s):
            return best_ranked
        if best_ranked.holds_object and not self.times.is_doubtful(query, best_ranked, now_s):
            return best_ranked
        return self.times.best(query, [*free_among(firsts), best_ranked], now_s)

    def place_queued(
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

        max_utilization = compute_max_utilization(query, median_ms)

        def utilization_of(target: RegisteredTarget) -> float:
            capacity = self.room.capacity(target, max_utilization, median_ms, now_s)
            return self.load_of(target).load(now_s) / capacity

        target = min(warm, key=utilization_of)
        if utilization_of(target) >= 1.0:
            return None
        return self._placement(query, target, PlacementReason.QUEUED, False, now_s)

    def handled_lately(self, target: RegisteredTarget, query: PlacementQuery, now_s: float) -> bool:
        """Return whether a target handled the object of a request for this VM lately."""
        return query.affinity is not None and self.recent.contains(
            key_of(target), query.affinity, now_s
        )
