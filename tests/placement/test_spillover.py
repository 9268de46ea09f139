"""Test the share of requests that is sent to other regions."""

import random

import pytest
from result import Ok
from support.gateway import make_entry, make_registry

from wagtailbay.placement import (
    ColdStartLimiter,
    PlacementQuery,
    SelectionTurn,
    SpilloverLimiter,
    TargetSelector,
)

REGIONS = {"z1": "north", "z3": "south"}


class TestPlacementElsewhere:
    """A placement in another region tells whether the own one has targets."""

    @pytest.mark.parametrize("has_local", [True, False])
    def test_has_local(self, has_local):
        """Guards against completions that wake nobody where all targets are in other regions."""
        entries = [make_entry("south", availability_zone="z3")]
        if has_local:
            entries.append(make_entry("north", availability_zone="z1"))
        selector = TargetSelector(
            "z1",
            REGIONS,
            make_registry(*entries),
            dict,
            ColdStartLimiter("vm", lambda: ["vm"]),
            random.Random(1),
        )
        if has_local:
            load = selector.load_of(selector.registry.targets["north"])
            load.shed_until_s = 9.0
            selector.spillover_limiters.of("records").share = 1.0
            selector.spillover_limiters.of("records").credit = 1.0
        placed = selector.select(PlacementQuery("records", None, 1_000.0), 1.0).ok_value
        assert placed.region == "south"
        assert placed.is_beyond_local is has_local


class TestSpilloverLimiter:
    """The share changes gradually unless the region has no targets."""

    def test_share_changes_by_at_most_one_step(self):
        """Guards against shifting more than 15% of a region's requests within 2 s."""
        limiter, admitted = SpilloverLimiter(), []
        for tick in range(1_000):
            now_s = tick / 100
            limiter.observe(lacks_capacity=now_s < 5, no_local_targets=False, now_s=now_s)
            admitted.append(limiter.admit())
        shares = [sum(admitted[i : i + 200]) / 200 for i in range(0, 1_000, 200)]
        assert max(abs(b - a) for a, b in zip(shares, shares[1:], strict=False)) <= 0.1
        assert max(shares) > 0.1

    def test_share_does_not_jump_after_a_gap(self):
        """Guards against a third of the requests moved at once after 12 s without spillover."""
        limiter = SpilloverLimiter()
        for tick in range(100):
            limiter.observe(lacks_capacity=False, no_local_targets=False, now_s=tick / 100)
        limiter.observe(lacks_capacity=True, no_local_targets=False, now_s=13.0)
        assert limiter.share <= limiter.step_per_s

    def test_spillover_is_immediate_without_local_targets(self):
        """Guards against refusals while other regions have capacity."""
        limiter = SpilloverLimiter()
        for tick in range(20):
            limiter.observe(lacks_capacity=True, no_local_targets=True, now_s=tick / 100)
        assert limiter.share > 0.9


class TestSpillover:
    """Other regions serve requests that exceed the local capacity."""

    def test_region_restricted_requests_do_not_count_as_demand(self):
        """Guards against spilling local requests because of others that may not run here."""
        selector = TargetSelector(
            "z1",
            REGIONS,
            make_registry(
                make_entry("a", slots=50), make_entry("b", availability_zone="z3", slots=50)
            ),
            dict,
            ColdStartLimiter("vm-1", list),
            random.Random(1),
        )
        regions = []
        for tick in range(400):
            now_s = tick / 100
            home_regions = frozenset({"south"}) if tick % 4 == 0 else frozenset()
            found = selector.select(
                PlacementQuery("records", str(tick % 9), 600.0, allowed_regions=home_regions), now_s
            )
            assert isinstance(found, Ok)
            if not home_regions:
                regions.append(found.ok_value.region)
            selector.load_of(found.ok_value.target).own_in_flight = 0
        assert set(regions) == {"north"}

    @pytest.mark.parametrize(("remote_in_flight", "expected"), [(0, 6), (10, 3)])
    def test_idle_region_accepts_more_spillover_than_a_busy_one(
        self, remote_in_flight: int, expected: int
    ) -> None:
        """Guards against refusals in one region while another one is half idle."""
        remote = [make_entry(f"b{n}", availability_zone="z3", slots=10) for n in range(4)]
        selector = TargetSelector(
            "z1",
            REGIONS,
            make_registry(make_entry("a", slots=1), *remote),
            dict,
            ColdStartLimiter("vm-1", list),
            random.Random(1),
        )
        for target in selector.registry.targets.values():
            selector.load_of(target).own_in_flight = (
                10 if target.entry.target == "a" else remote_in_flight
            )
        selected = selector.registry.targets["b0"]
        selector.load_of(selected).own_in_flight = 0
        selector.spillover_limiters.by_service["records"] = SpilloverLimiter(share=1.0, demand=1.0)
        for _ in range(20):
            selector.select(PlacementQuery("records", "7", 600.0), 0.0)
        assert selector.load_of(selected).own_in_flight == expected


class TestQueuedRequests:
    """Requests that wait for capacity select according to their turn."""

    def make_selector(self, *zones: str) -> TargetSelector:
        """Return a selector in z1 with a target of one slot in each zone."""
        entries = [make_entry(zone, availability_zone=zone, slots=1) for zone in zones]
        limiter = ColdStartLimiter("vm-1", list)
        return TargetSelector(
            "z1", REGIONS, make_registry(*entries), dict, limiter, random.Random(1)
        )

    def test_request_behind_others_takes_no_local_target(self):
        """Guards against overtaking those who wait for the targets of this region."""
        selector = self.make_selector("z1")
        behind = PlacementQuery("records", "1", 600.0, turn=SelectionTurn.BEHIND)
        assert selector.select(behind, 0.0).err_value.is_full
        again = PlacementQuery("records", "1", 600.0, turn=SelectionTurn.AGAIN)
        assert isinstance(selector.select(again, 0.0), Ok)

    def test_request_behind_others_may_go_to_another_region(self):
        """Guards against losing the region's share of spillover while requests wait."""
        selector = self.make_selector("z1", "z3")
        selector.spillover_limiters.by_service["records"] = SpilloverLimiter(share=1.0, demand=1.0)
        behind = PlacementQuery("records", "1", 600.0, turn=SelectionTurn.BEHIND)
        assert selector.select(behind, 0.0).ok_value.region == "south"

    def test_repeated_selection_is_no_new_demand(self):
        """Guards against a spillover share that grows with the selections of one request."""
        selector = self.make_selector("z1", "z3")
        first = PlacementQuery("records", "1", 600.0)
        selector.select(first, 0.0)
        selector.select(first, 0.1)
        demand = selector.spillover_limiters.by_service["records"].demand
        for tick in range(20):
            again = PlacementQuery("records", "1", 600.0, turn=SelectionTurn.AGAIN)
            assert selector.select(again, 0.1 + tick / 20).err_value.is_full
        assert selector.spillover_limiters.by_service["records"].demand == demand
