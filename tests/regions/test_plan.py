"""Test the plan of the shares, and the limit of what is executed."""

import pytest
from support.gateway import make_entry, make_registry

from wagtailbay.placement import Placement, PlacementQuery, PlacementReason, SelectionTurn
from wagtailbay.placement.load import TargetLoad
from wagtailbay.placement.regional import place_by_plan, usable_regions
from wagtailbay.regions import RegionRoom, RegionRouter, plan_shares
from wagtailbay.regions.plan import shift
from wagtailbay.regions.shares import position_of
from wagtailbay.regions.window import ShiftLimiter
from wagtailbay.registry import RegisteredTarget

PREFERRED = PlacementReason.PREFERRED
ROOMS = {
    "north": RegionRoom(72, 0.4),
    "east": RegionRoom(306, 0.4),
    "west": RegionRoom(369, 0.4),
}


def loads(demand_per_s: dict[str, float], plan: dict[str, dict[str, float]]) -> dict[str, float]:
    """Return the utilization of each region under a plan."""
    per_s = dict(demand_per_s)
    for region, shares in plan.items():
        for to, share in shares.items():
            per_s[region] -= share * demand_per_s[region]
            per_s[to] += share * demand_per_s[region]
    return {region: per_s[region] / room.capacity_per_s for region, room in ROOMS.items()}


class TestPlanShares:
    """The excess of a region goes to the regions with free capacity."""

    def test_region_keeps_its_demand_below_the_threshold(self) -> None:
        """Guards against requests that leave a region with free capacity."""
        demand = {"north": 120.0, "east": 100.0, "west": 100.0}
        assert plan_shares(demand, ROOMS, {}) == {}

    def test_excess_goes_to_the_emptiest_regions(self) -> None:
        """Guards against a receiver that becomes fuller than the others or than the sender."""
        demand = dict.fromkeys(ROOMS, 250.0)
        plan = plan_shares(demand, ROOMS, {})
        used = loads(demand, plan)
        assert plan.keys() == {"north"}
        assert used["north"] == pytest.approx(0.7)
        assert used["east"] == pytest.approx(used["west"])
        assert used["east"] < 0.7

    def test_shortage_of_the_fleet_is_evened_out(self) -> None:
        """Guards against one region that refuses far more than the others."""
        demand = dict.fromkeys(ROOMS, 650.0)
        previous = plan_shares(dict.fromkeys(ROOMS, 250.0), ROOMS, {})
        used = loads(demand, plan_shares(demand, ROOMS, previous))
        assert max(used.values()) - min(used.values()) < 0.2

    def test_receivers_keep_what_they_get(self) -> None:
        """Guards against requests that change between receivers without need."""
        first = plan_shares({"north": 250.0, "east": 150.0, "west": 350.0}, ROOMS, {})
        then = plan_shares({"north": 250.0, "east": 350.0, "west": 150.0}, ROOMS, first)
        assert shift(first["north"], then["north"]) < 0.02

    def test_full_fleet_starts_no_plan(self) -> None:
        """Guards against requests that change their region where none has free capacity."""
        demand = {"north": 800.0, "east": 800.0, "west": 900.0}
        assert plan_shares(demand, ROOMS, {}) == {}

    def test_region_without_targets_sends_all_away(self) -> None:
        """Guards against a division by zero, and a share for a region that can serve nothing."""
        rooms = ROOMS | {"north": RegionRoom(0, 0.4)}
        plan = plan_shares(dict.fromkeys(ROOMS, 100.0), rooms, {})
        assert sum(plan["north"].values()) == pytest.approx(1.0)
        assert plan_shares({"north": 5.0}, {"north": RegionRoom(0, 0.4)}, {}) == {}


class TestShiftLimiter:
    """What is executed changes by at most the allowed share."""

    def test_sudden_move_is_spread(self) -> None:
        """Guards against deviations from the plan that change more than a plan may."""
        limiter, ran = ShiftLimiter(0.12), []
        for tick in range(2_000):
            now_s = tick / 200
            wanted = "east" if now_s >= 4 else "north"
            region = wanted if limiter.allows(wanted, {"north", "east"}, now_s) else "north"
            limiter.record(region, now_s)
            ran.append(region == "east")
        shares = [sum(ran[i : i + 400]) / 400 for i in range(0, 2_000, 400)]
        assert max(b - a for a, b in zip(shares, shares[1:], strict=False)) < 0.13
        assert shares[-1] > 0.2


class TestRegionRouter:
    """A VM follows the plan gradually and forgets it when it is old."""

    def test_share_follows_within_the_allowed_change(self) -> None:
        """Guards against a VM that applies a new plan at once."""
        router, assigned = RegionRouter("north", 0.15), []
        for tick in range(1_600):
            now_s = tick / 200
            if tick % 200 == 0:
                router.adopt("records", {"north": {"east": 0.6}}, 0.0, now_s, at_once=False)
            assigned.append(router.assign("records", True, now_s) == "east")
        shares = [sum(assigned[i : i + 400]) / 400 for i in range(0, 1_600, 400)]
        assert max(b - a for a, b in zip(shares, shares[1:], strict=False)) < 0.12
        assert shares[-1] > 0.3

    def test_first_plan_is_not_held_back(self) -> None:
        """Guards against requests sent home 2 s after the first plan, since they began there."""
        router = RegionRouter("north", 0.15)
        for tick in range(800):
            now_s = tick / 200
            if tick == 60:
                router.adopt("records", {"north": {"east": 0.9}}, 0.0, now_s, at_once=True)
            region = "north" if tick < 60 else "east"
            assert router.allows("records", region, {"north", "east"}, now_s)
            router.record_first_attempt("records", region, now_s, is_restricted=False)

    def test_old_plan_is_not_in_force(self) -> None:
        """Guards against shares by sums that stand for nothing any more."""
        router = RegionRouter("north", 0.15)
        router.adopt("records", {"north": {"east": 0.6}}, 0.0, 0.0, at_once=True)
        assert router.assign("records", True, 4.9) is not None
        assert router.assign("records", True, 5.1) is None
        assert router.is_sender("records", "north", 4.9)
        assert not router.is_sender("records", "north", 5.1)

    def test_shares_of_an_expired_plan_are_not_resumed(self) -> None:
        """Guards against half of the requests sent away by a plan that sends none away."""
        router = RegionRouter("north", 0.15)
        router.adopt("records", {"north": {"east": 0.5}}, 0.0, 0.0, at_once=True)
        router.adopt("records", {}, 0.0, 60.0, at_once=False)
        assert router.away_share("records") == 0.0
        router.adopt("records", {"north": {"east": 0.5}}, 0.0, 61.0, at_once=True)
        router.adopt("records", {}, 0.2, 120.0, at_once=False)
        assert router.away_share("records") == pytest.approx(0.2)

    def test_changed_mix_of_services_is_no_change_of_region(self) -> None:
        """Guards against requests held back because another service got fewer requests."""
        router = RegionRouter("north", 0.15)
        for service, plan in (("records", {"north": {"east": 0.6}}), ("uploads", {})):
            router.adopt(service, plan, 0.0, 0.0, at_once=True)
        regions = {"north", "east"}
        for tick in range(800):
            now_s = tick / 200
            service, region = ("uploads", "north") if now_s < 2 else ("records", "east")
            assert router.allows(service, region, regions, now_s), now_s
            router.record_first_attempt(service, region, now_s, is_restricted=False)


class TestPlaceByPlan:
    """A request that the planned region can't run goes elsewhere, gradually if that helps."""

    def place(self, router: RegionRouter, full: set[str], running: int = 0, **query) -> str | None:
        """Return the region of a request planned for the east; some regions are full."""
        names = ("north", "east", "west")
        registry = make_registry(*(make_entry(name, slots=10) for name in names))
        load = TargetLoad(own_in_flight=running)

        def place(targets: list[RegisteredTarget]) -> Placement | None:
            name = targets[0].entry.target
            return None if name in full else Placement(targets[0], name, 0.0, PREFERRED)

        placed = place_by_plan(
            router,
            "east",
            "north",
            PlacementQuery("records", None, 1_000.0, **query),
            {name: [registry.targets[name]] for name in names},
            lambda target: load,
            place,
            lambda placement: False,
            4.0,
        )
        return placed[-1].region if placed else None

    def router(self, away: int = 80) -> RegionRouter:
        """Return a router whose requests all ran in the east so far."""
        router = RegionRouter("north", 0.15)
        router.adopt("records", {"north": {"east": 0.9}}, 0.0, 0.0, at_once=True)
        for tick in range(800):
            router.record_first_attempt("records", "east", tick / 200, is_restricted=False)
        # What may change its region has done so.
        for _ in range(away):
            router.record_first_attempt("records", "north", 3.99, is_restricted=False)
        assert not router.allows("records", "north", {"north", "east"}, 4.0)
        return router

    def test_free_home_is_used_when_the_planned_region_is_full(self) -> None:
        """Guards against refusals while the own region is free, for the sake of gradual change."""
        assert self.place(self.router(), {"east"}) == "north"
        assert self.place(self.router(), {"east", "north"}) is None

    def test_busy_home_is_used_up_to_the_wider_limit(self) -> None:
        """Guards against a change of more than the allowed share while the home is near full."""
        assert self.place(self.router(), {"east"}, running=8) is None
        assert self.place(self.router(away=45), {"east"}, running=8) == "north"

    def test_request_behind_others_leaves_the_own_region_to_them(self) -> None:
        """Guards against a newcomer that overtakes those who wait for targets of this region."""
        turn = SelectionTurn.BEHIND
        assert self.place(self.router(), {"east"}, turn=turn) is None

    @pytest.mark.parametrize("state", ["cold", "shedding", "ejected"])
    def test_targets_that_can_not_run_requests_make_no_usable_region(self, state: str) -> None:
        """Guards against a region with only such targets that counts as one to stay in."""
        entries = [make_entry("t1"), make_entry("t2", availability_zone="z2")]
        registry = make_registry(*entries)
        one, two = registry.targets["t1"], registry.targets["t2"]
        loads = {"t1": TargetLoad(), "t2": TargetLoad()}
        if state == "cold":
            one.cold_until_s = 9.0
        if state == "shedding":
            loads["t1"].shed_until_s = 9.0
        if state == "ejected":
            loads["t1"].ejected_until_s = 9.0
        by_region = {"north": [one], "east": [two]}

        def load_of(target: RegisteredTarget) -> TargetLoad:
            return loads[target.entry.target]

        assert usable_regions(by_region, load_of, 4.0) == {"east"}
        assert usable_regions(by_region, load_of, 10.0) == {"north", "east"}

    def test_region_without_usable_targets_is_left_at_once(self) -> None:
        """Guards against requests held to a region whose targets are all cold or ejected."""
        router = self.router()
        assert router.allows("records", "north", {"north", "west"}, 4.0)
        # Of another service, nothing is known.
        assert router.allows("uploads", "north", {"north"}, 4.0)

    def test_regions_that_leave_the_plan_are_alternatives(self) -> None:
        """Guards against refusals by a home that runs little while its share returns to it."""
        router = self.router()
        router.adopt("records", {}, 0.9, 5.0, at_once=False)
        assert router.alternatives("records", "north") == ["east"]


class TestObjects:
    """The plan divides the requests of regions by object."""

    def test_objects_keep_their_region_while_shares_are_steady(self) -> None:
        """Guards against objects that are cached in all regions."""
        router, ran = RegionRouter("north", 0.15), {}
        router.adopt("records", {"north": {"east": 0.5}}, 0.0, 0.0, at_once=True)
        for number in range(6_000):
            affinity = str(number * 7919 % 300)
            ran.setdefault(affinity, []).append(router.assign("records", True, 1.0, affinity))
        shares = [regions.count("east") / len(regions) for regions in ran.values()]
        assert sum(share in (0.0, 1.0) for share in shares) > 0.35 * len(shares)
        main_shares = [max(share, 1 - share) for share in shares]
        assert sum(main_shares) / len(main_shares) > 0.8
        assert sum(shares) / len(shares) == pytest.approx(0.5, abs=0.02)

    def test_vms_assign_objects_far_from_a_border_alike(self) -> None:
        """Guards against an object that runs in another region at each VM."""
        routers = [RegionRouter("north", 0.15) for _ in range(2)]
        for share, router in zip((0.45, 0.5), routers, strict=True):
            router.adopt("records", {"north": {"east": share}}, 0.0, 0.0, at_once=True)
        far = [a for a in map(str, range(300)) if not 0.1 < position_of("records", a) < 0.85]
        assigned = [[r.assign("records", True, 1.0, a) for a in far] for r in routers]
        assert assigned[0] == assigned[1]
        assert set(assigned[0]) == {"north", "east"}
