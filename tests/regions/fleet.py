"""A few VMs and targets of three regions on one clock, for tests of the region plan."""

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable, Mapping

from attrs import define, field
from support.gateway import make_entry, make_registry

from wagtailbay.membership import FactTable, FleetLayout
from wagtailbay.placement import (
    ColdStartLimiter,
    LoadReport,
    Placement,
    PlacementQuery,
    TargetOutcome,
    TargetSelector,
)
from wagtailbay.regions import RegionRouter, RegionTracker

SLOTS, QUEUE, CACHED = 9, 27, 20
WARM_WORK_S, WORK_S = 0.39, 1.3
GOAL_MS = 1_061.0
REGIONS = {"z1": "north", "z2": "east", "z3": "west"}
UNEVEN = {"z1": 8, "z2": 34, "z3": 41}
VMS_PER_REGION = 4


@define
class FakeTarget:
    """Runs requests in its slots in the order of arrival and caches the objects used last."""

    free_s: list[float] = field(factory=lambda: [0.0] * SLOTS)
    ends_s: list[float] = field(factory=list)
    cached: OrderedDict[str, None] = field(factory=OrderedDict)

    def start(self, affinity: str, now_s: float, pace: float = 1.0) -> float | None:
        """Return when a request ends, None if the queue is full."""
        self.ends_s = [end_s for end_s in self.ends_s if end_s > now_s]
        if len(self.ends_s) >= SLOTS + QUEUE:
            return None
        work_s = (WARM_WORK_S if affinity in self.cached else WORK_S) * pace
        self.cached[affinity] = None
        self.cached.move_to_end(affinity)
        if len(self.cached) > CACHED:
            self.cached.popitem(last=False)
        end_s = max(now_s, heapq.heappop(self.free_s)) + work_s
        heapq.heappush(self.free_s, end_s)
        self.ends_s.append(end_s)
        return end_s

    def report(self, now_s: float, pace: float = 1.0) -> LoadReport:
        """Return the load as the target states it."""
        count = sum(1 for end_s in self.ends_s if end_s > now_s)
        return LoadReport(min(SLOTS, count), max(0, count - SLOTS), SLOTS, 100 * pace)


@define
class Vm:
    """The parts of a VM that place requests."""

    selector: TargetSelector
    tracker: RegionTracker

    @property
    def region(self) -> str:
        """Return the region of the VM."""
        return self.selector.region


@define
class Outcomes:
    """What became of the requests of each region, by second of arrival and region."""

    ran: list[tuple[float, str, str, float]] = field(factory=list)
    refused: list[tuple[float, str]] = field(factory=list)

    def refused_share(self, region: str, from_s: float = 0.0) -> float:
        """Return the share of a region's requests that found no capacity."""
        refused = sum(1 for at_s, home in self.refused if home == region and at_s >= from_s)
        ran = sum(1 for at_s, home, _, _ in self.ran if home == region and at_s >= from_s)
        return refused / max(1, refused + ran)

    def timely_share(self, from_s: float = 0.0) -> float:
        """Return the share of all requests that were answered within the latency goal."""
        taken = [taken_s for at_s, _, _, taken_s in self.ran if at_s >= from_s]
        count = len(taken) + sum(1 for at_s, _ in self.refused if at_s >= from_s)
        return sum(1 for taken_s in taken if taken_s * 1000 <= GOAL_MS) / max(1, count)

    def share(self, home: str, region: str, from_s: float, through_s: float) -> float:
        """Return the share of a region's executed requests that ran in a region."""
        ran = [to for at_s, own, to, _ in self.ran if own == home and from_s <= at_s < through_s]
        return ran.count(region) / max(1, len(ran))

    def max_shift(self, home: str, from_s: float, through_s: float) -> float:
        """Return the largest change between windows of 2 s, whenever these begin."""
        largest, start_s = 0.0, from_s
        while start_s + 4 <= through_s:
            changes = [
                self.share(home, region, start_s + 2, start_s + 4)
                - self.share(home, region, start_s, start_s + 2)
                for region in REGIONS.values()
            ]
            largest = max(largest, sum(abs(change) for change in changes) / 2)
            start_s += 0.5
        return largest


class Fleet:
    """Four VMs of each region with their targets; facts arrive 0.1 s late."""

    def __init__(self, targets: Mapping[str, int], *, plans: bool = True) -> None:
        self.entries = [
            make_entry(f"{zone}-{number}", availability_zone=zone, slots=SLOTS)
            for zone, count in targets.items()
            for number in range(count)
        ]
        self.targets = {entry.target: FakeTarget() for entry in self.entries}
        self.vms = [self._build_vm(zone, n) for zone in REGIONS for n in range(VMS_PER_REGION)]
        self.plans = plans
        self.exchanged_s = float("-inf")
        self.running: list[tuple[float, int, Vm, Placement, float]] = []
        self.random = random.Random(5)
        self.outcomes = Outcomes()
        self.connected = True
        self.slow_share = 0.0
        self.reports_pace = True
        self.slow_count = 0

    def pace(self, target: str, now_s: float) -> float:
        """Return the pace of a target; which ones are slow changes every 0.6 s."""
        draw = random.Random(f"{target} {now_s // 0.6}").random()
        return 2.5 if draw < self.slow_share else 1.0

    def _report(self, target: str, now_s: float) -> LoadReport:
        pace = self.pace(target, now_s) if self.reports_pace else 1.0
        return self.targets[target].report(now_s, pace)

    def _build_vm(self, zone: str, number: int) -> Vm:
        router = RegionRouter(REGIONS[zone], 0.15)
        selector = TargetSelector(
            zone,
            REGIONS,
            make_registry(*self.entries),
            dict,
            ColdStartLimiter("vm", lambda: range(VMS_PER_REGION)),
            random.Random(number),
            region_plan=router,
        )
        tracker = RegionTracker(
            router,
            selector,
            FactTable(f"{zone}-vm-{number}", 1),
            lambda: FleetLayout({}, {}),
            lambda: dict.fromkeys(REGIONS.values(), VMS_PER_REGION),
            lambda: 0.0,
            random.Random(number),
        )
        return Vm(selector, tracker)

    def exchange(self, now_s: float) -> None:
        """Exchange the counts of all VMs, early while the traffic starts."""
        is_early = any(vm.tracker.is_early(now_s) for vm in self.vms)
        if not self.plans or now_s - self.exchanged_s < (0.2 if is_early else 1.0):
            return
        self.exchanged_s = now_s
        for vm in self.vms:
            vm.tracker.exchange(now_s)
        for vm in self.vms if self.connected else ():
            for other in self.vms:
                if other is not vm:
                    vm.tracker.facts.merge(other.tracker.facts.facts.values())

    def restart_vms(self, zone: str, count: int) -> None:
        """Replace the first VMs of a zone by new ones that know nothing."""
        places = [place for place, vm in enumerate(self.vms) if vm.region == REGIONS[zone]]
        for number, place in enumerate(places[:count]):
            self.vms[place] = self._build_vm(zone, VMS_PER_REGION + number)

    def lose_targets(self, zone: str, now_s: float) -> None:
        """Remove all targets of a zone, as the store does when they are lost."""
        for vm in self.vms:
            for target in vm.selector.registry.targets.values():
                if target.entry.availability_zone == zone and target.removed_s is None:
                    target.removed_s = now_s

    def run(
        self,
        demand_per_s: Callable[[str, float], float],
        from_s: float,
        through_s: float,
        pick_vm: Callable[[list[Vm], float], Vm] | None = None,
    ) -> Outcomes:
        """Send the requests of all regions; each region's arrive at even distances."""
        ticks, due = round((through_s - from_s) * 100), dict.fromkeys(REGIONS.values(), 0.0)
        for tick in range(ticks):
            now_s = from_s + tick / 100
            self.exchange(now_s)
            self._finish(now_s)
            for region in due:
                due[region] += demand_per_s(region, now_s) / 100
                vms = [vm for vm in self.vms if vm.region == region]
                while due[region] >= 1:
                    due[region] -= 1
                    vm = pick_vm(vms, now_s) if pick_vm else self.random.choice(vms)
                    self._send(vm, now_s)
        return self.outcomes

    def _send(self, vm: Vm, now_s: float) -> None:
        # Few objects are in high demand: the square makes small numbers likely.
        affinity = str(int(313 * self.random.random() ** 2))
        excluded: frozenset[str] = frozenset()
        for _ in range(2):
            query = PlacementQuery("records", affinity, GOAL_MS, excluded)
            selected = vm.selector.select(query, now_s)
            if selected.is_err():
                break
            placement, name = selected.ok_value, selected.ok_value.target.entry.target
            pace = self.pace(name, now_s)
            end_s = self.targets[name].start(affinity, now_s, pace)
            if end_s is None:
                report = self._report(name, now_s)
                vm.selector.finish(placement, TargetOutcome.SHED, 1.0, report, now_s)
                excluded |= {name}
                continue
            self.slow_count += pace > 1
            end_s += 0.0 if placement.region == vm.region else 0.07
            heapq.heappush(self.running, (end_s, len(self.outcomes.ran), vm, placement, now_s))
            self.outcomes.ran.append((now_s, vm.region, placement.region, end_s - now_s))
            return
        self.outcomes.refused.append((now_s, vm.region))

    def _finish(self, now_s: float) -> None:
        while self.running and self.running[0][0] <= now_s:
            end_s, _, vm, placement, at_s = heapq.heappop(self.running)
            report = self._report(placement.target.entry.target, now_s)
            taken_ms = (end_s - at_s) * 1000
            vm.selector.finish(placement, TargetOutcome.ANSWERED, taken_ms, report, now_s)
