"""Test that many VMs of a region together use its targets without overloading them."""

import random

from support.gateway import make_entry, make_registry

from wagtailbay.membership import FactTable, FleetLayout
from wagtailbay.placement import (
    ColdStartLimiter,
    OccupancyTracker,
    PlacementQuery,
    TargetOutcome,
    TargetSelector,
)

VMS = 13
TARGETS = 14
SLOTS = 9
QUEUE = 27
WORK_S = 2.0


class Region:
    """Simulate the selectors of 13 VMs that share 14 targets, on one clock."""

    def __init__(self, exchanges_facts: bool) -> None:
        entries = [make_entry(f"t{number}", slots=SLOTS) for number in range(TARGETS)]
        self.selectors = [
            TargetSelector(
                "z1",
                {"z1": "north"},
                make_registry(*entries),
                dict,
                ColdStartLimiter("vm", lambda: range(VMS)),
                random.Random(number),
            )
            for number in range(VMS)
        ]
        self.trackers = [
            OccupancyTracker(
                selector,
                lambda: VMS,
                FactTable(f"vm-{number}", 1),
                lambda: FleetLayout({}, {}),
                lambda: 0.0,
                random.Random(number),
            )
            for number, selector in enumerate(self.selectors)
        ]
        self.exchanges_facts = exchanges_facts
        self.running: list[tuple[float, TargetSelector, object]] = []

    def exchange_facts(self, now_s: float) -> None:
        """Exchange the published counts between all VMs."""
        for tracker in self.trackers:
            tracker.exchange(now_s)
        if not self.exchanges_facts:
            return
        for tracker in self.trackers:
            for other in self.trackers:
                if other is not tracker:
                    tracker.facts.merge(other.facts.facts.values())

    def run(self, per_s: float, seconds: float, objects: int) -> tuple[int, float]:
        """Send requests to random VMs; return the peak at one target and the mean total."""
        source, max_in_flight, total, samples = random.Random(5), 0, 0, 0
        for tick in range(round(seconds * per_s)):
            now_s = tick / per_s
            if tick % round(per_s / 2) == 0:
                self.exchange_facts(now_s)
            while self.running and self.running[0][0] <= now_s:
                _, selector, placement = self.running.pop(0)
                selector.finish(placement, TargetOutcome.ANSWERED, WORK_S * 1000, None, now_s)
            selector = source.choice(self.selectors)
            query = PlacementQuery("records", str(source.randrange(objects)), 2_500.0)
            placed = selector.select(query, now_s)
            if placed.is_ok():
                self.running.append((now_s + WORK_S, selector, placed.ok_value))
            counts: dict[str, int] = {}
            for _, _, placement in self.running:
                name = placement.target.entry.target
                counts[name] = counts.get(name, 0) + 1
            max_in_flight = max(max_in_flight, *counts.values(), 0)
            total, samples = total + len(self.running), samples + 1
        return max_in_flight, total / samples


class TestRegionWithManyVms:
    """Each of 13 VMs gets a part of a demand of one and a half times the slots."""

    def test_targets_are_not_loaded_beyond_their_queue(self) -> None:
        """Guards against 13 VMs that each see free slots at a target that they fill together."""
        max_in_flight, mean = Region(exchanges_facts=True).run(per_s=95.0, seconds=20, objects=40)
        assert max_in_flight <= SLOTS + QUEUE
        assert mean >= 0.75 * TARGETS * SLOTS, "targets must be well utilized"
        baseline, _ = Region(exchanges_facts=False).run(per_s=95.0, seconds=20, objects=40)
        assert baseline > SLOTS + QUEUE, "load reports alone must not keep the bound"

    def test_region_with_few_vms_relies_on_target_reports_alone(self) -> None:
        """Guards against targets that appear full by the last counts of VMs that are gone."""
        region = Region(exchanges_facts=True)
        region.run(per_s=95.0, seconds=3, objects=40)
        tracker = region.trackers[0]
        assert any(target_load.peer_in_flight for target_load in tracker.selector.loads.values())
        tracker.region_vms = lambda: 2
        tracker.exchange(3.0)
        assert all(
            target_load.peer_in_flight is None for target_load in tracker.selector.loads.values()
        )
