"""Choose a target: the object's own one first, then free ones, then other regions."""

import random
from collections.abc import Callable, Mapping
from functools import lru_cache
from statistics import median

from attrs import define, field
from result import Err, Ok, Result
from xxhash import xxh64_intdigest

from wagtailbay.logs import log_event
from wagtailbay.placement.cold import ColdBudget
from wagtailbay.placement.const import (
    AWAY_FILL_BUSY,
    AWAY_FILL_IDLE,
    BUSY_FILL,
    GOAL_SHARE,
    IDLE_FILL,
    MAX_EJECTED_SHARE,
    MAX_FILL,
    MAX_RETRY_AFTER_MS,
    MIN_FILL,
    MIN_RETRY_AFTER_MS,
    MIN_ZONE_TARGETS,
    OTHER_FILL_BUSY,
    OTHER_FILL_IDLE,
    SLOW_FACTOR,
    SLOW_FILL,
)
from wagtailbay.placement.load import TargetLoad
from wagtailbay.placement.models import (
    LoadReport,
    Placement,
    PlacementQuery,
    PlacementReason,
    Shortage,
    TargetSign,
)
from wagtailbay.placement.spill import SpillLimiter
from wagtailbay.registry import KnownTarget, TargetRegistry
from wagtailbay.routing import ServiceRule


@lru_cache(maxsize=65_536)
def affinity_rank(affinity: str, target: str) -> int:
    """Return the place of a target in the order of an object; the lowest is preferred."""
    return xxh64_intdigest(f"{affinity}\0{target}".encode())


def _busyness(mean_fill: float) -> float:
    """Return 0 for idle targets, 1 for busy ones, and what lies between."""
    return min(1.0, max(0.0, (mean_fill - IDLE_FILL) / (BUSY_FILL - IDLE_FILL)))


def _other_fill(mean_fill: float) -> float:
    """Return how full a target may be for a request whose object is at another one."""
    return OTHER_FILL_IDLE + _busyness(mean_fill) * (OTHER_FILL_BUSY - OTHER_FILL_IDLE)


def _until_warm(targets: list[KnownTarget], now_s: float) -> list[KnownTarget]:
    """Return the first targets up to the first one that is not cold."""
    for place, target in enumerate(targets):
        if not target.is_cold(now_s):
            return targets[: place + 1]
    return targets


@define
class Placer:
    """Choose targets for the requests of one VM.

    Attributes:
        availability_zone: Of this VM.
        regions: The region of each availability zone.
        services: Returns the rules of the services in force, by name.
    """

    availability_zone: str
    regions: Mapping[str, str]
    registry: TargetRegistry
    services: Callable[[], Mapping[str, ServiceRule]]
    cold: ColdBudget
    random: random.Random
    loads: dict[tuple[str, int], TargetLoad] = field(factory=dict)
    spills: dict[str, SpillLimiter] = field(factory=dict)

    @property
    def region(self) -> str:
        """Return this VM's region."""
        return self.regions.get(self.availability_zone, "")

    def load_of(self, target: KnownTarget) -> TargetLoad:
        """Return the beliefs about one start of a target."""
        key = (target.entry.target, target.entry.born_unix_ms)
        load = self.loads.get(key)
        if load is None:
            load = self.loads[key] = TargetLoad()
        return load

    def choose(self, query: PlacementQuery, now_s: float) -> Result[Placement, Shortage]:
        """Choose a target and count the request as in flight there."""
        chosen = self._choose(query, now_s)
        if isinstance(chosen, Ok):
            self.load_of(chosen.ok_value.target).start()
        return chosen

    def _choose(self, query: PlacementQuery, now_s: float) -> Result[Placement, Shortage]:
        candidates = self._candidates(query, now_s)
        if not candidates:
            return Err(Shortage("no usable target", MAX_RETRY_AFTER_MS))
        usual_ms = self._usual_latency_ms(candidates, now_s)
        home = [c for c in candidates if self._region_of(c) == self.region]
        away = [c for c in candidates if self._region_of(c) != self.region]
        placed = self._place(query, home, usual_ms, now_s) if home else None
        if away and self._spills(query, placed is None, bool(home), now_s):
            placed = self._place_away(query, away, usual_ms, bool(home), now_s) or placed
        if placed is None and query.affinity is None:
            placed = self._place_queued(query, home or away, usual_ms, now_s)
        if placed is not None:
            return Ok(placed)
        return Err(Shortage("all targets are full", self.retry_after_ms(usual_ms)))

    def _spills(
        self, query: PlacementQuery, needs_room: bool, has_home: bool, now_s: float
    ) -> bool:
        """Tell whether a request goes to another region if there is room for it.

        A request that may not run in this region says nothing of the room there, and a retry has
        lost the target that it was meant for.
        """
        if query.allowed_regions or query.excluded:
            return needs_room
        limiter = self.spills.setdefault(query.service, SpillLimiter())
        limiter.observe(needs_room, not has_home, now_s)
        return limiter.take() or (needs_room and not has_home)

    def _candidates(self, query: PlacementQuery, now_s: float) -> list[KnownTarget]:
        usable = [
            target
            for target in self.registry.usable(query.service, now_s)
            if target.entry.target not in query.excluded
            and (query.version is None or query.version.admits(target.entry.version))
            and (not query.allowed_regions or self._region_of(target) in query.allowed_regions)
        ]
        healthy = [target for target in usable if not self.load_of(target).is_ejected(now_s)]
        if len(healthy) < (1 - MAX_EJECTED_SHARE) * len(usable):
            return usable
        return healthy

    def _region_of(self, target: KnownTarget) -> str:
        return self.regions.get(target.entry.availability_zone, "")

    def _usual_latency_ms(self, targets: list[KnownTarget], now_s: float) -> float | None:
        known = [self.load_of(target).known_latency_ms(now_s) for target in targets]
        latencies = [latency_ms for latency_ms in known if latency_ms is not None]
        return median(latencies) if latencies else None

    def _capacity(
        self, target: KnownTarget, fill: float, usual_ms: float | None, now_s: float
    ) -> float:
        """Return how many requests a target may have; few if it is slower than the others."""
        slots = max(1, target.entry.slots)
        latency_ms = self.load_of(target).known_latency_ms(now_s)
        if latency_ms and usual_ms and latency_ms > SLOW_FACTOR * usual_ms:
            return slots * min(fill, SLOW_FILL)
        return slots * fill

    def _has_room(
        self, target: KnownTarget, fill: float, usual_ms: float | None, now_s: float
    ) -> bool:
        """Tell whether a target may take one more request."""
        belief = self.load_of(target)
        if belief.is_shedding(now_s):
            return False
        return belief.has_room(self._capacity(target, fill, usual_ms, now_s), now_s)

    def _placement(self, target: KnownTarget, reason: PlacementReason, now_s: float) -> Placement:
        load = self.load_of(target).load(now_s)
        return Placement(target, self._region_of(target), load, reason)

    def _max_fill(self, query: PlacementQuery, usual_ms: float | None) -> float:
        """Return how full a target may be for an answer in good time, through its slots."""
        if not usual_ms:
            return MIN_FILL
        return min(MAX_FILL, max(MIN_FILL, GOAL_SHARE * query.latency_goal_ms / usual_ms))

    def _ordered(self, query: PlacementQuery, targets: list[KnownTarget]) -> list[KnownTarget]:
        if query.affinity is None:
            shuffled = self.random.sample(targets, len(targets))
            return sorted(shuffled, key=lambda t: self.load_of(t).own / max(1, t.entry.slots))
        affinity = query.affinity
        return sorted(targets, key=lambda target: affinity_rank(affinity, target.entry.target))

    def _place(
        self,
        query: PlacementQuery,
        targets: list[KnownTarget],
        usual_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the first target in the object's order that has room."""
        mean_fill = self._mean_fill(targets, now_s)
        other_fill = _other_fill(mean_fill)
        own_fill = self._max_fill(query, usual_ms) if query.affinity is not None else other_fill
        ordered = self._ordered(query, targets)
        stays = query.is_large and query.affinity is not None and mean_fill < IDLE_FILL
        preferred = self._preferred(ordered, stays, now_s)
        names = {target.entry.target for target in preferred}
        others = [target for target in ordered if target.entry.target not in names]
        for reason, candidates, fill in (
            (PlacementReason.PREFERRED, preferred, own_fill),
            (PlacementReason.OTHER, others, other_fill),
        ):
            for target in candidates:
                if self._has_room(target, fill, usual_ms, now_s) and self._may_warm(target, now_s):
                    return self._placement(target, reason, now_s)
        return None

    def _preferred(
        self, ordered: list[KnownTarget], stays: bool, now_s: float
    ) -> list[KnownTarget]:
        """Return the targets that keep the object warm: the first warm one, and cold ones before.

        A large exchange prefers the first one in the VM's own zone: the object is then handled in
        each zone of the region, which costs less than its bytes between the zones unless the
        service is busy.
        """
        first = _until_warm(ordered, now_s)
        if not stays:
            return first
        near = [t for t in ordered if t.entry.availability_zone == self.availability_zone]
        if len(near) < MIN_ZONE_TARGETS:
            return first
        near = _until_warm(near, now_s)
        names = {target.entry.target for target in near}
        return near + [target for target in first if target.entry.target not in names]

    def _mean_fill(self, targets: list[KnownTarget], now_s: float) -> float:
        """Return the part of the targets' slots that is in use."""
        slots = sum(max(1, target.entry.slots) for target in targets)
        return sum(self.load_of(target).load(now_s) for target in targets) / slots

    def _may_warm(self, target: KnownTarget, now_s: float) -> bool:
        """Tell whether a target is not cold, or has budget for one more request."""
        rule = self.services().get(target.entry.service)
        if not target.is_cold(now_s) or rule is None or rule.cold_per_s <= 0:
            return True
        if self._region_of(target) != self.region:
            return False
        return self.cold.take(target.entry.target, rule.cold_per_s, now_s)

    def _place_away(
        self,
        query: PlacementQuery,
        targets: list[KnownTarget],
        usual_ms: float | None,
        has_home: bool,
        now_s: float,
    ) -> Placement | None:
        """Return a target of another region that has room to spare."""
        if has_home:
            busy = _busyness(self._mean_fill(targets, now_s))
            fill = AWAY_FILL_IDLE + busy * (AWAY_FILL_BUSY - AWAY_FILL_IDLE)
        else:
            fill = self._max_fill(query, usual_ms)
        for target in self._ordered(query, targets):
            if self._has_room(target, fill, usual_ms, now_s) and not target.is_cold(now_s):
                return self._placement(target, PlacementReason.SPILLED, now_s)
        return None

    def _place_queued(
        self,
        query: PlacementQuery,
        targets: list[KnownTarget],
        usual_ms: float | None,
        now_s: float,
    ) -> Placement | None:
        """Return the least full target if its queue still allows an answer in good time."""
        warm = [target for target in targets if not target.is_cold(now_s)]
        if not warm:
            return None

        fill = self._max_fill(query, usual_ms)

        def part_of(target: KnownTarget) -> float:
            capacity = self._capacity(target, fill, usual_ms, now_s)
            return self.load_of(target).load(now_s) / capacity

        target = min(warm, key=part_of)
        if part_of(target) >= 1.0:
            return None
        return self._placement(target, PlacementReason.QUEUED, now_s)

    def retry_after_ms(self, usual_ms: float | None = None) -> float:
        """Return when a slot may be free, spread so that callers do not come back together."""
        base_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, usual_ms or 0.0))
        return base_ms * self.random.uniform(0.5, 1.5)

    def finish(
        self,
        placement: Placement,
        sign: TargetSign,
        latency_ms: float,
        report: LoadReport | None,
        now_s: float,
    ) -> None:
        """Record what came of a request; called once for each placement."""
        target = placement.target
        belief = self.load_of(target)
        was_ejected = belief.is_ejected(now_s)
        belief.finish(sign, latency_ms, report, now_s)
        if belief.is_ejected(now_s) and not was_ejected:
            log_event("target_ejected", target=target.entry.target, sign=sign.value)
        if sign is TargetSign.UNREACHABLE:
            self.expect_restart(target, now_s)

    def in_flight(self) -> dict[str, int]:
        """Return this VM's requests in flight by target."""
        counts: dict[str, int] = {}
        for (name, _), belief in self.loads.items():
            if belief.own:
                counts[name] = counts.get(name, 0) + belief.own
        return counts

    def take_in_others(self, in_flight: Mapping[str, int], senders: int) -> None:
        """Take in what the other VMs have in flight by target."""
        for target in self.registry.targets.values():
            told = in_flight.get(target.entry.target, 0)
            self.load_of(target).take_in_told(told, self.random.random(), senders)

    def forget_others(self) -> None:
        """Go by what targets tell alone."""
        for belief in self.loads.values():
            belief.told = None

    def expect_restart(self, target: KnownTarget, now_s: float) -> None:
        """Treat a target that has ended as cold, since it may be back before its new entry is."""
        rule = self.services().get(target.entry.service)
        if rule is not None:
            target.cold_until_s = max(target.cold_until_s, now_s + rule.cold_ms / 1000)

    def forget(self) -> None:
        """Drop the beliefs about targets that the registry no longer has."""
        known = {
            (name, target.entry.born_unix_ms) for name, target in self.registry.targets.items()
        }
        for key in [key for key in self.loads if key not in known and not self.loads[key].own]:
            del self.loads[key]
        self.cold.forget({name for name, _ in known})
