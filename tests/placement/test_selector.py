"""Test the selection of targets."""

import random
from collections import Counter

import pytest
from result import Err, Ok
from support.gateway import make_entry, make_registry

from wagtailbay.placement import (
    ColdStartLimiter,
    LoadReport,
    PlacementQuery,
    PlacementReason,
    TargetOutcome,
    TargetSelector,
    VersionFilter,
)
from wagtailbay.placement.load import TargetLoad
from wagtailbay.routing import ServiceRule

REGIONS = {"z1": "north", "z2": "north", "z3": "south"}
RULES = {"records": ServiceRule("records", "/health", 100, 3_000.0, 6.0)}


def make_selector(*entries, seed: int = 1, region_vms: int = 4, zone: str = "z1") -> TargetSelector:
    """Return the selector of a VM, by default in region north."""
    registry = make_registry(*entries)
    names = [f"vm-{number}" for number in range(region_vms)]
    cold = ColdStartLimiter(f"vm-{seed}", lambda: names)
    return TargetSelector(zone, REGIONS, registry, lambda: RULES, cold, random.Random(seed))


def make_query(**changes) -> PlacementQuery:
    """Return a query for a target of the service ``records``."""
    values = {"service": "records", "affinity": "7", "latency_goal_ms": 600.0}
    return PlacementQuery(**(values | changes))


def target_name(result) -> str:
    """Return the identity of the selected target."""
    return result.ok_value.target.entry.target


class TestAffinity:
    """Requests for one object go to its preferred target."""

    def test_all_vms_select_the_same_target_for_an_object(self):
        """Guards against cache misses when each VM sends an object to another target."""
        entries = [make_entry(f"t{i}") for i in range(5)]
        first, second = make_selector(*entries, seed=1), make_selector(*entries, seed=2)
        for affinity in map(str, range(20)):
            selected = target_name(first.select(make_query(affinity=affinity), 0.0))
            assert selected == target_name(second.select(make_query(affinity=affinity), 0.0))
            for selector in (first, second):
                for target in selector.registry.targets.values():
                    selector.load_of(target).own_in_flight = 0

    def test_full_target_falls_back_to_the_next_in_rank_order(self):
        """Guards against queueing at one target while others are idle."""
        selector = make_selector(*(make_entry(f"t{i}") for i in range(4)))
        names = Counter(target_name(selector.select(make_query(), 0.0)) for _ in range(7))
        assert sorted(names.values()) == [3, 4]

    def test_busy_service_keeps_objects_on_preferred_targets(self):
        """Guards against a collapse under overload when objects move and are cached nowhere."""
        selector = make_selector(*(make_entry(f"t{i}") for i in range(4)))
        for number in range(40):
            selector.select(make_query(affinity=str(number)), 0.0)
        moved = [
            found.ok_value
            for number in range(40)
            if isinstance(found := selector.select(make_query(affinity=str(number)), 0.0), Ok)
            and found.ok_value.reason is PlacementReason.OTHER
        ]
        assert moved == []

    def test_requests_beyond_capacity_are_refused_with_a_retry_time(self):
        """Guards against queues in which every answer is late, as in a surge in one zone."""
        selector = make_selector(make_entry("a"), make_entry("b"))
        results = [selector.select(make_query(affinity=str(i)), 0.0) for i in range(30)]
        assert 6 <= sum(isinstance(result, Ok) for result in results) <= 8
        refused = [result.err_value for result in results if isinstance(result, Err)]
        assert all(shortage.retry_after_ms > 0 for shortage in refused)

    def test_low_latency_allows_queueing_within_the_latency_goal(self):
        """Guards against refusing requests that would meet the latency goal after a short wait."""
        selector = make_selector(make_entry("a"))
        load = selector.load_of(selector.registry.targets["a"])
        for _ in range(5):
            load.start()
            load.finish(TargetOutcome.ANSWERED, 200.0, None, 0.0)
        admitted = sum(isinstance(selector.select(make_query(), 0.0), Ok) for _ in range(20))
        assert admitted == 10


class TestRestrictions:
    """Selection respects regions, versions and excluded targets."""

    def test_allowed_regions_are_respected(self):
        """Guards against running a request outside its allowed regions."""
        selector = make_selector(make_entry("a"), make_entry("b", availability_zone="z3"))
        south = make_query(allowed_regions=frozenset({"south"}))
        assert {target_name(selector.select(south, 0.0)) for _ in range(3)} == {"b"}
        assert isinstance(selector.select(make_query(allowed_regions=frozenset({""})), 0.0), Err)

    def test_version_filter_is_respected(self):
        """Guards against sending more requests to a new version than its share."""
        selector = make_selector(make_entry("a"), make_entry("b", version="v2"))
        assert target_name(selector.select(make_query(version=VersionFilter("v2")), 0.0)) == "b"
        assert (
            target_name(selector.select(make_query(version=VersionFilter("v2", False)), 0.0)) == "a"
        )

    def test_tried_target_is_not_selected_again(self):
        """Guards against retrying at the target that just failed."""
        selector = make_selector(make_entry("a"), make_entry("b"))
        assert target_name(selector.select(make_query(excluded=frozenset({"a"})), 0.0)) == "b"


class TestColdTargets:
    """Cold targets get a limited rate of requests."""

    @pytest.mark.parametrize("vms", [4, 25])
    def test_fleet_stays_within_the_cold_rate_of_a_target(self, vms: int):
        """Guards against crashing targets that return cold with a full share of requests."""
        cold = make_entry("a", cold_remaining_ms=10_000.0, slots=50)
        selectors = [make_selector(cold, seed=i, region_vms=vms) for i in range(vms)]
        sent = [0] * 5
        for tick in range(500):
            now_s = tick / 100
            for selector in selectors:
                found = selector.select(make_query(affinity=str(tick)), now_s)
                if isinstance(found, Ok):
                    sent[int(now_s)] += 1
                    selector.finish(found.ok_value, TargetOutcome.ANSWERED, 5.0, None, now_s)
        assert max(sent) <= 6.0 * 1.5 + 5
        assert min(sent[1:]) >= 4

    def test_vm_of_another_region_sends_nothing_to_a_cold_target(self):
        """Guards against shares that add up to more than the cold rate of the target."""
        selector = make_selector(make_entry("b", availability_zone="z3", cold_remaining_ms=9_000.0))
        assert isinstance(selector.select(make_query(), 0.0), Err)


class TestTargetHealth:
    """Failing and slow targets get fewer requests or none."""

    def test_unreachable_target_is_ejected_immediately(self):
        """Guards against sending further requests to a crashed target."""
        selector = make_selector(*(make_entry(f"t{i}") for i in range(4)))
        first = selector.select(make_query(), 0.0).ok_value
        selector.finish(first, TargetOutcome.UNREACHABLE, 5.0, None, 0.0)
        names = {target_name(selector.select(make_query(), 0.1)) for _ in range(5)}
        assert first.target.entry.target not in names

    def test_failing_target_is_ejected_and_retried_later(self):
        """Guards against a target that fails some requests although it passes its health checks."""
        selector = make_selector(*(make_entry(f"t{i}") for i in range(4)))
        target = selector.select(make_query(), 0.0).ok_value
        for _ in range(6):
            selector.load_of(target.target).start()
            selector.finish(target, TargetOutcome.FAILED, 5.0, None, 0.0)
        assert target_name(selector.select(make_query(), 0.1)) != target.target.entry.target
        selector.load_of(target.target).own_in_flight = 0
        assert target_name(selector.select(make_query(), 5.0)) == target.target.entry.target

    def test_ejections_are_ignored_when_most_targets_fail(self):
        """Guards against refusing all requests of a service because its targets are ejected."""
        selector = make_selector(make_entry("a"), make_entry("b"))
        for target in selector.registry.targets.values():
            selector.load_of(target).ejected_until_s = 10.0
        assert isinstance(selector.select(make_query(), 0.0), Ok)

    def test_slow_target_gets_fewer_requests(self):
        """Guards against slow targets that hold many requests, as when half a service is slow."""
        selector = make_selector(*(make_entry(f"t{i}", slots=10) for i in range(4)))
        for name, target in selector.registry.targets.items():
            for _ in range(6):
                load = selector.load_of(target)
                load.start()
                load.finish(TargetOutcome.ANSWERED, 900.0 if name == "t0" else 100.0, None, 0.0)
        selected = [selector.select(make_query(affinity=str(i)), 0.0) for i in range(30)]
        names = Counter(target_name(found) for found in selected if isinstance(found, Ok))
        assert names["t0"] <= 3
        assert sum(names.values()) >= 20


class TestTargetLoad:
    """The load estimate includes the reports of the target."""

    def test_report_adds_requests_of_other_vms(self):
        """Guards against VMs that each fill the same free slots."""
        load = TargetLoad()
        load.start()
        load.start()
        load.finish(TargetOutcome.ANSWERED, 10.0, LoadReport(5, 3, 7), 0.0)
        assert load.load(0.0) == 1 + (5 + 3 - 1 - 1)
        assert load.load(10.0) < 1.1
