"""Test the choice of targets."""

import random
from collections import Counter

import pytest
from result import Err, Ok
from support.gateway import entry, registry_of

from wagtailbay.placement import (
    ColdBudget,
    LoadReport,
    PlacementQuery,
    PlacementReason,
    Placer,
    TargetSign,
    VersionFilter,
)
from wagtailbay.placement.load import TargetLoad
from wagtailbay.routing import ServiceRule

REGIONS = {"z1": "north", "z2": "north", "z3": "south"}
RULES = {"records": ServiceRule("records", "/health", 100, 3_000.0, 6.0)}


def placer_of(*entries, seed: int = 1, region_vms: int = 4, zone: str = "z1") -> Placer:
    """Return the placer of a VM in region north."""
    registry = registry_of(*entries)
    names = [f"vm-{number}" for number in range(region_vms)]
    cold = ColdBudget(f"vm-{seed}", lambda: names)
    return Placer(zone, REGIONS, registry, lambda: RULES, cold, random.Random(seed))


def query(**changes) -> PlacementQuery:
    """Return the need of a target."""
    values = {"service": "records", "affinity": "7", "latency_goal_ms": 600.0}
    return PlacementQuery(**(values | changes))


def name_of(result) -> str:
    """Return the chosen target."""
    return result.ok_value.target.entry.target


class TestAffinity:
    """Keep an object at one target."""

    def test_all_vms_choose_the_same_target_for_an_object(self):
        """Guards against objects that are warm nowhere, since each VM sends them elsewhere."""
        entries = [entry(f"t{i}") for i in range(5)]
        first, second = placer_of(*entries, seed=1), placer_of(*entries, seed=2)
        for affinity in map(str, range(20)):
            chosen = name_of(first.choose(query(affinity=affinity), 0.0))
            assert chosen == name_of(second.choose(query(affinity=affinity), 0.0))
            for placer in (first, second):
                for target in placer.registry.targets.values():
                    placer.load_of(target).own = 0

    def test_full_target_gives_way_to_the_next_of_the_order_while_there_is_room(self):
        """Guards against a queue at one target while others are idle."""
        placer = placer_of(*(entry(f"t{i}") for i in range(4)))
        names = Counter(name_of(placer.choose(query(), 0.0)) for _ in range(7))
        assert sorted(names.values()) == [3, 4]

    def test_busy_service_does_not_move_objects(self):
        """Guards against a collapse under overload in which objects are warm nowhere."""
        placer = placer_of(*(entry(f"t{i}") for i in range(4)))
        for number in range(40):
            placer.choose(query(affinity=str(number)), 0.0)
        moved = [
            found.ok_value
            for number in range(40)
            if isinstance(found := placer.choose(query(affinity=str(number)), 0.0), Ok)
            and found.ok_value.reason is PlacementReason.OTHER
        ]
        assert moved == []

    def test_more_than_all_slots_is_refused_with_a_time_to_come_back(self):
        """Guards against queues in which every answer is late (surge in one zone)."""
        placer = placer_of(entry("a"), entry("b"))
        results = [placer.choose(query(affinity=str(i)), 0.0) for i in range(30)]
        assert 6 <= sum(isinstance(result, Ok) for result in results) <= 8
        refused = [result.err_value for result in results if isinstance(result, Err)]
        assert all(shortage.retry_after_ms > 0 for shortage in refused)

    def test_short_answers_allow_a_queue_within_the_goal(self):
        """Guards against refusals where a short wait still brings an answer in good time."""
        placer = placer_of(entry("a"))
        load = placer.load_of(placer.registry.targets["a"])
        for _ in range(5):
            load.start()
            load.finish(TargetSign.ANSWERED, 200.0, None, 0.0)
        admitted = sum(isinstance(placer.choose(query(), 0.0), Ok) for _ in range(20))
        assert admitted == 10


class TestRestrictions:
    """Honour what binds a request."""

    def test_homes_bind(self):
        """Guards against a request that runs outside its home regions."""
        placer = placer_of(entry("a"), entry("b", availability_zone="z3"))
        south = query(allowed_regions=frozenset({"south"}))
        assert {name_of(placer.choose(south, 0.0)) for _ in range(3)} == {"b"}
        assert isinstance(placer.choose(query(allowed_regions=frozenset({""})), 0.0), Err)

    def test_version_filter_binds(self):
        """Guards against more requests to a new version than its share."""
        placer = placer_of(entry("a"), entry("b", version="v2"))
        assert name_of(placer.choose(query(version=VersionFilter("v2")), 0.0)) == "b"
        assert name_of(placer.choose(query(version=VersionFilter("v2", False)), 0.0)) == "a"

    def test_tried_target_is_not_chosen_again(self):
        """Guards against a retry at the target that just failed."""
        placer = placer_of(entry("a"), entry("b"))
        assert name_of(placer.choose(query(excluded=frozenset({"a"})), 0.0)) == "b"


class TestColdTargets:
    """Spare cold targets."""

    @pytest.mark.parametrize("vms", [4, 25])
    def test_fleet_stays_within_what_a_cold_target_bears(self, vms: int):
        """Guards against a crash of targets that come back cold (cold return)."""
        cold = entry("a", cold_remaining_ms=10_000.0, slots=50)
        placers = [placer_of(cold, seed=i, region_vms=vms) for i in range(vms)]
        sent = [0] * 5
        for tick in range(500):
            now_s = tick / 100
            for placer in placers:
                found = placer.choose(query(affinity=str(tick)), now_s)
                if isinstance(found, Ok):
                    sent[int(now_s)] += 1
                    placer.finish(found.ok_value, TargetSign.ANSWERED, 5.0, None, now_s)
        assert max(sent) <= 6.0 * 1.5 + 5
        assert min(sent[1:]) >= 4

    def test_vm_of_another_region_sends_nothing_to_a_cold_target(self):
        """Guards against shares that add up to more than the whole."""
        placer = placer_of(entry("b", availability_zone="z3", cold_remaining_ms=9_000.0))
        assert isinstance(placer.choose(query(), 0.0), Err)


class TestHealth:
    """Avoid targets that fail."""

    def test_unreachable_target_is_left_out_at_once(self):
        """Guards against further requests to a target that has crashed."""
        placer = placer_of(*(entry(f"t{i}") for i in range(4)))
        first = placer.choose(query(), 0.0).ok_value
        placer.finish(first, TargetSign.UNREACHABLE, 5.0, None, 0.0)
        names = {name_of(placer.choose(query(), 0.1)) for _ in range(5)}
        assert first.target.entry.target not in names

    def test_failing_target_is_left_out_and_tried_again(self):
        """Guards against a target that fails part of its requests with good health checks."""
        placer = placer_of(*(entry(f"t{i}") for i in range(4)))
        target = placer.choose(query(), 0.0).ok_value
        for _ in range(6):
            placer.load_of(target.target).start()
            placer.finish(target, TargetSign.FAILED, 5.0, None, 0.0)
        assert name_of(placer.choose(query(), 0.1)) != target.target.entry.target
        placer.load_of(target.target).own = 0
        assert name_of(placer.choose(query(), 5.0)) == target.target.entry.target

    def test_ejections_are_ignored_when_most_targets_fail(self):
        """Guards against a service that is refused as a whole."""
        placer = placer_of(entry("a"), entry("b"))
        for target in placer.registry.targets.values():
            placer.load_of(target).ejected_until_s = 10.0
        assert isinstance(placer.choose(query(), 0.0), Ok)

    def test_slow_target_gets_less(self):
        """Guards against a few slow targets that hold many requests (half of a service slow)."""
        placer = placer_of(*(entry(f"t{i}", slots=10) for i in range(4)))
        for name, target in placer.registry.targets.items():
            for _ in range(6):
                load = placer.load_of(target)
                load.start()
                load.finish(TargetSign.ANSWERED, 900.0 if name == "t0" else 100.0, None, 0.0)
        chosen = [placer.choose(query(affinity=str(i)), 0.0) for i in range(30)]
        names = Counter(name_of(found) for found in chosen if isinstance(found, Ok))
        assert names["t0"] <= 3
        assert sum(names.values()) >= 20


class TestTargetLoad:
    """Believe reports."""

    def test_report_adds_what_others_have_in_flight(self):
        """Guards against VMs that each fill what looks free."""
        load = TargetLoad()
        load.start()
        load.start()
        load.finish(TargetSign.ANSWERED, 10.0, LoadReport(5, 3, 7), 0.0)
        assert load.load(0.0) == 1 + (5 + 3 - 1 - 1)
        assert load.load(10.0) < 1.1
