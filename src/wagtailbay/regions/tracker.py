"""Exchange the demand of regions with the other VMs, and plan by the sums."""

import random
from collections.abc import Callable, Mapping

import trio
from attrs import define, field

from wagtailbay.membership import FactTable, FleetAggregator, FleetLayout
from wagtailbay.metrics import Metrics
from wagtailbay.placement import TargetSelector
from wagtailbay.placement.load import accepting_targets
from wagtailbay.regions.const import (
    EARLY_INTERVAL_S,
    EXCHANGE_INTERVAL_S,
    FORGOTTEN_PER_S,
    MAX_PLAN_AGE_S,
    MIN_ANSWERS,
    MIN_COVERAGE,
    MIN_STARTED_PER_S,
    REGION_COUNTS_KIND,
    START_S,
)
from wagtailbay.regions.models import RegionCounts, RegionCountsFact
from wagtailbay.regions.plan import RegionRoom, plan_shares
from wagtailbay.regions.router import RegionRouter
from wagtailbay.regions.traffic import DemandTrend

PPM = 1_000_000


@define
class RegionTracker:
    """Computes the same plan as all other VMs, from the sums of what all publish.

    Attributes:
        live_vms: Returns the number of live VMs by region, for which the sums have to stand.
        trends: Demand by service and region.
        wanted: Regions that the newest sums would relieve, by service.
        saw_no_traffic: Whether this VM knew the fleet before the traffic of its region started;
            None until it knows the fleet.
        started_s: When the traffic of its region started.
    """

    router: RegionRouter
    selector: TargetSelector
    facts: FactTable
    layout: Callable[[], FleetLayout]
    live_vms: Callable[[], Mapping[str, int]]
    clock: Callable[[], float]
    random: random.Random
    metrics: Metrics = field(factory=Metrics)
    trends: dict[tuple[str, str], DemandTrend] = field(factory=dict)
    wanted: dict[str, frozenset[str]] = field(factory=dict)
    saw_no_traffic: bool | None = None
    started_s: float | None = None
    aggregator: FleetAggregator = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the aggregation of the counts over the fleet."""
        self.aggregator = FleetAggregator(
            REGION_COUNTS_KIND,
            RegionCountsFact,
            self.facts,
            self.layout,
            round(MAX_PLAN_AGE_S * 1000),
        )

    async def run(self) -> None:
        """Exchange counts periodically until cancelled; does nothing with a single region."""
        if len(set(self.selector.regions.values())) < 2 or not self.router.region:
            return
        exchanged_s = float("-inf")
        while True:
            now_s = self.clock()
            is_early = self.is_early(now_s)
            if is_early or now_s - exchanged_s >= EXCHANGE_INTERVAL_S:
                self.exchange(now_s)
                exchanged_s = now_s
            await trio.sleep(EARLY_INTERVAL_S * self.random.uniform(0.8, 1.0))

    def is_early(self, now_s: float) -> bool:
        """Return whether the traffic of this VM or of its region started a moment ago."""
        first_s = self.router.counter.first_request_s
        starts_s = [start_s for start_s in (first_s, self.started_s) if start_s is not None]
        return any(now_s - start_s < START_S for start_s in starts_s)

    def exchange(self, now_s: float) -> None:
        """Publish this VM's counts and plan by the sums, if these stand for the fleet."""
        own = self.router.counter.end_interval(now_s)
        total = self.aggregator.publish_and_merge("all", own, now_s, urgent=self.is_early(now_s))
        total = total.within(set(self.selector.regions.values()))
        live = self.live_vms()
        if sum(total.vms.values()) >= MIN_COVERAGE * sum(live.values()):
            # The VMs that are not in the sums have about the demand of the others.
            total = total.scaled(
                {region: max(1.0, live.get(region, 0) / n) for region, n in total.vms.items() if n}
            )
            self._record_start(total, now_s)
            self._plan(total, now_s)
            self._prune(total)
        self._record_metrics(own)

    def _record_start(self, total: RegionCounts, now_s: float) -> None:
        region = self.router.region
        per_s = sum(demand.get(region, 0.0) for demand in total.demand_per_s.values())
        if self.saw_no_traffic is None:
            self.saw_no_traffic = per_s < MIN_STARTED_PER_S
        if self.started_s is None and per_s >= MIN_STARTED_PER_S:
            self.started_s = now_s

    def _plan(self, total: RegionCounts, now_s: float) -> None:
        is_early = self.started_s is not None and now_s - self.started_s < START_S
        for service in total.demand_per_s.keys() | self.router.plans.keys():
            demand = self._expected_demand(service, total, now_s)
            rooms = self._rooms(service, total, now_s)
            if rooms is None:
                continue
            previous = self.router.plans.get(service, {})
            plan = plan_shares(demand, rooms, previous, is_early=is_early)
            plan, wanted = self._confirmed(service, plan, is_early), frozenset(plan)
            self.wanted[service] = wanted
            self.router.adopt(
                service,
                plan,
                self._executed_away(service, total),
                now_s,
                at_once=is_early and bool(self.saw_no_traffic),
            )

    def _prune(self, total: RegionCounts) -> None:
        """Forget the services that have had no demand for a while."""
        services = {service for service, _ in self.trends} | self.router.plans.keys()
        for service in services - total.demand_per_s.keys():
            regions = [region for name, region in self.trends if name == service]
            expected = [self.trends[(service, region)].expected_per_s() for region in regions]
            if sum(expected) < FORGOTTEN_PER_S:
                self.router.forget(service)
                self.wanted.pop(service, None)
                for region in regions:
                    del self.trends[(service, region)]

    def _confirmed(
        self, service: str, plan: dict[str, dict[str, float]], is_early: bool
    ) -> dict[str, dict[str, float]]:
        """Return a plan without the regions that it relieves for the first time by one sum only.

        While work times of cold caches fade, single sums made equal regions exchange requests.
        """
        wanted = self.wanted.get(service, frozenset()) | self.router.plans.get(service, {}).keys()
        return {region: shares for region, shares in plan.items() if is_early or region in wanted}

    def _expected_demand(self, service: str, total: RegionCounts, now_s: float) -> dict[str, float]:
        demand = total.demand_per_s.get(service, {})
        regions = demand.keys() | {r for name, r in self.trends if name == service}
        expected = {}
        for region in regions:
            per_s = demand.get(region, 0.0)
            trend = self.trends.get((service, region))
            if trend is None:
                trend = self.trends[(service, region)] = DemandTrend(per_s, now_s)
            expected[region] = trend.observe(per_s, now_s).expected_per_s()
        return expected

    def _rooms(
        self, service: str, total: RegionCounts, now_s: float
    ) -> Mapping[str, RegionRoom] | None:
        """Return the capacity of the regions whose demand is known; None if none is known yet."""
        slots = dict.fromkeys(total.vms, 0)
        usable = self.selector.registry.usable(service, now_s)
        for target in accepting_targets(usable, self.selector.load_of, now_s):
            region = self.selector.regions.get(target.entry.availability_zone, "")
            if region in slots and not target.is_cold(now_s):
                slots[region] += max(1, target.entry.slots)
        pinned = total.pinned_per_s.get(service, {})
        rooms = {}
        for region, count in slots.items():
            work_s = self._work_s(service, region, total)
            if work_s is None:
                return None
            rooms[region] = RegionRoom(count, work_s, pinned.get(region, 0.0))
        return rooms

    def _work_s(self, service: str, region: str, total: RegionCounts) -> float | None:
        """Return the mean work time in a region, or else in all, or else the latency goal."""
        answers, work_ms = total.answers.get(service, {}), total.work_ms.get(service, {})
        if answers.get(region, 0.0) >= MIN_ANSWERS:
            return work_ms.get(region, 0.0) / answers[region] / 1000
        if sum(answers.values()) >= MIN_ANSWERS:
            return sum(work_ms.values()) / sum(answers.values()) / 1000
        latency_goal_ms = self.router.counter.of(service).latency_goal_ms
        return latency_goal_ms / 1000 if latency_goal_ms > 0 else None

    def _executed_away(self, service: str, total: RegionCounts) -> float:
        """Return the share of this region's requests that ran in other regions of late.

        That of the region is used, since a VM that has just started ran its first requests at home.
        """
        region = self.router.region
        per_s = total.demand_per_s.get(service, {}).get(region, 0.0)
        away = total.away_per_s.get(service, {}).get(region, {})
        return min(1.0, sum(away.values()) / per_s) if per_s > 0 else 0.0

    def _record_metrics(self, own: RegionCounts) -> None:
        region = self.router.region
        for service, state in self.router.services.items():
            per_s = own.demand_per_s.get(service, {}).get(region, 0.0)
            away = own.away_per_s.get(service, {}).get(region, {})
            for to in set(self.selector.regions.values()) - {region}:
                planned = round(PPM * state.shares.get(to, 0.0))
                executed = round(PPM * away.get(to, 0.0) / per_s) if per_s else 0
                self.metrics.set_region_share(service, to, planned, executed)
