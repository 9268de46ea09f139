"""Test the choice among targets of which some work slower at this moment than others."""

import random

import pytest
from regions.fleet import UNEVEN, Fleet
from regions.test_region_loads import steady
from support.gateway import make_entry, make_registry

from wagtailbay.placement import (
    ColdStartLimiter,
    LoadReport,
    Placement,
    PlacementQuery,
    PlacementReason,
    TargetOutcome,
    TargetSelector,
)
from wagtailbay.placement.demand import ObjectDemand
from wagtailbay.placement.load import TargetLoad

REGIONS = {"z1": "north", "z2": "south"}
WARM_MS, SLOTS = 390.0, 9
QUERY = PlacementQuery("records", "7", 600.0)


def build_selector(north: int = 4, south: int = 4, samples: int = 30) -> TargetSelector:
    """Return the selector of a VM in north that knows the work time, unless without samples."""
    entries = [make_entry(f"n{i}", slots=SLOTS) for i in range(north)]
    entries += [make_entry(f"s{i}", slots=SLOTS, availability_zone="z2") for i in range(south)]
    cold = ColdStartLimiter("vm", lambda: ["vm"])
    selector = TargetSelector("z1", REGIONS, make_registry(*entries), dict, cold, random.Random(1))
    target = selector.registry.targets["n0"]
    for _ in range(samples):
        placed = Placement(target, "north", 0.0, PlacementReason.PREFERRED, "other", True)
        selector.load_of(target).start()
        selector.finish(placed, TargetOutcome.ANSWERED, WARM_MS, LoadReport(1, 0, SLOTS), 0.0)
    return selector


def preferred(selector: TargetSelector) -> Placement:
    """Return where a request is placed while all targets work as usual."""
    placed = selector.select(QUERY, 0.0).ok_value
    selector.load_of(placed.target).own_in_flight -= 1
    return placed


def slow_down(selector: TargetSelector, placed: Placement, pace_percent: float = 250.0) -> None:
    """Let a target report that it is slow."""
    selector.load_of(placed.target).start()
    report = LoadReport(1, 0, SLOTS, pace_percent)
    # An outcome without an answer leaves the work time as it is.
    selector.finish(placed, TargetOutcome.GIVEN_UP, 1.0, report, 0.0)


def fill(selector: TargetSelector, placed: Placement) -> None:
    """Fill a target beyond any queue."""
    selector.load_of(placed.target).own_in_flight = 4 * SLOTS


class TestPace:
    """The pace of a target is known for a moment."""

    def test_pace_fades_to_the_usual_one(self) -> None:
        """Guards against avoiding a target that was slow some changes of machines ago."""
        load = TargetLoad()
        load.start()
        load.finish(TargetOutcome.ANSWERED, 975.0, LoadReport(1, 0, SLOTS, 250.0), 0.0)
        assert load.pace(0.0) == 2.5
        assert load.pace(0.4) == pytest.approx(1.75)
        assert load.pace(4.0) == pytest.approx(1.0, abs=0.01)

    def test_latency_average_does_not_contain_the_pace(self) -> None:
        """Guards against a target that counts as slow for seconds after its machine was."""
        load = TargetLoad()
        load.start()
        load.finish(TargetOutcome.ANSWERED, 975.0, LoadReport(1, 0, SLOTS, 250.0), 0.0)
        assert load.latency_ms == pytest.approx(WARM_MS)


class TestSlowTarget:
    """The preferred target works 2.5 times slower than usual."""

    def test_target_that_handled_the_object_lately_takes_over(self) -> None:
        """Guards against late answers beside a target that has the object, too."""
        selector = build_selector(south=0)
        slow = preferred(selector)
        other = next(t for t in selector.registry.targets.values() if t is not slow.target)
        selector.recent.record((other.entry.target, other.entry.born_unix_ms), "7", 0.0)
        slow_down(selector, slow)
        placed = selector.select(QUERY, 0.0).ok_value
        assert (placed.target, placed.reason) == (other, PlacementReason.CACHED)

    def test_slow_target_beats_targets_without_the_object(self) -> None:
        """Guards against work that takes 3.3 times as long and evicts another object."""
        selector = build_selector(south=0)
        slow = preferred(selector)
        slow_down(selector, slow)
        assert selector.select(QUERY, 0.0).ok_value.target is slow.target

    def test_first_ranked_target_of_another_region_takes_over_within_the_allowance(self) -> None:
        """Guards against late answers, and against moving all requests between regions at once."""
        selector = build_selector()
        slow = preferred(selector)
        slow_down(selector, slow)
        assert selector.select(QUERY, 0.0).ok_value.target is slow.target
        selector.spillover_limiters.of("records").share = 0.5
        placed = [selector.select(QUERY, 0.0).ok_value for _ in range(4)]
        remote = {p.target.entry.target for p in placed if p.region == "south"}
        assert [p.region for p in placed].count("south") == 2
        assert len(remote) == 1

    def test_request_without_latency_problem_stays(self) -> None:
        """Guards against moving requests that a slow target answers in time."""
        selector = build_selector()
        slow = preferred(selector)
        slow_down(selector, slow)
        patient = PlacementQuery("records", "7", 2_000.0)
        selector.spillover_limiters.of("records").share = 0.9
        assert selector.select(patient, 0.0).ok_value.target is slow.target

    def test_restricted_request_stays_in_its_region(self) -> None:
        """Guards against running a request outside its allowed regions for a faster answer."""
        selector = build_selector()
        slow_down(selector, preferred(selector))
        selector.spillover_limiters.of("records").share = 1.0
        query = PlacementQuery("records", "7", 600.0, allowed_regions=frozenset({"north"}))
        assert selector.select(query, 0.0).ok_value.region == "north"


class TestFullTarget:
    """The preferred target is full."""

    def test_without_load_reports_the_next_target_is_used_as_before(self) -> None:
        """Guards against other choices in deployments whose targets report no load."""
        selector = build_selector(samples=0)
        full = preferred(selector)
        fill(selector, full)
        selector.spillover_limiters.of("records").share = 0.0
        placed = selector.select(QUERY, 0.0).ok_value
        assert (placed.region, placed.reason) == ("north", PlacementReason.OTHER)

    def test_old_reports_are_not_used(self) -> None:
        """Guards against choices by expected times after the reports have stopped."""
        selector = build_selector()
        assert selector.times.is_known(QUERY, 4.9)
        assert not selector.times.is_known(QUERY, 5.1)

    def test_other_region_comes_before_a_target_without_the_object(self) -> None:
        """Guards against evicting an object while a target of another region has this one."""
        selector = build_selector()
        fill(selector, preferred(selector))
        selector.spillover_limiters.of("records").share = 1.0
        assert selector.select(QUERY, 0.0).ok_value.region == "south"


class TestObjectInHighDemand:
    """One object is requested more than its preferred target can serve."""

    def serve(self, selector: TargetSelector, per_s: float, from_s: float, to_s: float) -> set[str]:
        """Return the targets of requests for one object, each answered at once."""
        used: set[str] = set()
        for number in range(round((to_s - from_s) * per_s)):
            now_s = from_s + number / per_s
            placed = selector.select(QUERY, now_s).ok_value
            used.add(placed.target.entry.target)
            report = LoadReport(1, 0, SLOTS)
            selector.finish(placed, TargetOutcome.ANSWERED, WARM_MS, report, now_s)
        return used

    def test_next_target_gets_what_the_first_cannot_serve(self) -> None:
        """Guards against a queue at one target while others are idle, or against refusals."""
        selector = build_selector(south=0)
        self.serve(selector, 40.0, 0.0, 6.0)
        first = selector.select(QUERY, 6.0).ok_value
        assert first.reason is PlacementReason.PREFERRED
        selector.load_of(first.target).own_in_flight = SLOTS
        second = selector.select(QUERY, 6.0).ok_value
        assert second.reason is PlacementReason.CACHED
        assert selector.select(QUERY, 6.0).ok_value.target is second.target

    def test_object_has_one_target_again_when_demand_falls(self) -> None:
        """Guards against objects that stay cached at several targets without need."""
        selector = build_selector(south=0)
        self.serve(selector, 40.0, 0.0, 6.0)
        self.serve(selector, 2.0, 6.0, 26.0)
        first = selector.select(QUERY, 26.0).ok_value
        selector.load_of(first.target).own_in_flight = SLOTS
        assert selector.select(QUERY, 26.0).ok_value.target is first.target

    def test_rates_of_few_objects_are_kept(self) -> None:
        """Guards against memory that grows with the number of objects."""
        demand = ObjectDemand()
        for number in range(2_000):
            demand.record("records", str(number), 0.0)
            demand.record("records", "busy", 0.0)
        assert len(demand.rates) == 512
        assert demand.per_s("records", "busy", 0.0) > 100


class TestSlowMachines:
    """At each moment 15% of the targets work 2.5 times slower; which ones changes every 0.6 s."""

    def test_reported_pace_lets_more_requests_be_in_time(self) -> None:
        """Guards against requests that wait at slow targets, as without the figure."""
        informed, baseline = Fleet(UNEVEN), Fleet(UNEVEN)
        baseline.reports_pace = False
        for fleet in (informed, baseline):
            fleet.slow_share = 0.15
            fleet.run(steady, 0, 10)
        assert informed.outcomes.timely_share(4) > baseline.outcomes.timely_share(4) + 0.01
        met = [fleet.slow_count / len(fleet.outcomes.ran) for fleet in (informed, baseline)]
        assert met[0] < met[1]
