"""Test the plan of the shares, and the limit of what is executed."""

import pytest

from wagtailbay.regions import RegionRoom, RegionRouter, plan_shares
from wagtailbay.regions.plan import shift
from wagtailbay.regions.shares import position_of
from wagtailbay.regions.window import ShiftLimiter

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
            region = wanted if limiter.allows(wanted, now_s) else "north"
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
            assert router.allows(region, {"north", "east"}, now_s)
            router.record_first_attempt("records", region, now_s, is_restricted=False)

    def test_old_plan_is_not_in_force(self) -> None:
        """Guards against shares by sums that stand for nothing any more."""
        router = RegionRouter("north", 0.15)
        router.adopt("records", {"north": {"east": 0.6}}, 0.0, 0.0, at_once=True)
        assert router.assign("records", True, 4.9) is not None
        assert router.assign("records", True, 5.1) is None
        assert router.is_sender("records", "north", 4.9)
        assert not router.is_sender("records", "north", 5.1)


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
