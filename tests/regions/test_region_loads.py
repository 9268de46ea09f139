"""Test the plan under the loads for which it is made, on a few VMs and targets on one clock."""

import math

import pytest
from regions.fleet import REGIONS, UNEVEN, Fleet, Vm

MAX_SHIFT = 0.15
DEMAND_PER_S = 250.0
START_S = 2.0
PHASES = {region: number / 3 for number, region in enumerate(REGIONS.values())}


def steady(region: str, now_s: float) -> float:
    """Return a third of the demand for each region."""
    return DEMAND_PER_S if now_s >= START_S else 0.0


def waves(region: str, now_s: float) -> float:
    """Return demand that swings by 0.55 in 36 s, a third of a period apart between regions."""
    swing = 1 + 0.55 * math.sin(2 * math.pi * (now_s / 36 + PHASES[region]))
    return steady(region, now_s) * swing


class TestUnevenRegions:
    """One region has a tenth of the targets and a third of the callers."""

    def test_free_capacity_of_other_regions_is_used(self) -> None:
        """Guards against a third of the region's requests refused beside half-empty regions."""
        planned = Fleet(UNEVEN).run(steady, 0, 16)
        baseline = Fleet(UNEVEN, plans=False).run(steady, 0, 16)
        # The caches are cold in the first seconds.
        assert planned.refused_share("north") < 0.08
        assert planned.refused_share("north", from_s=8) < 0.01
        assert baseline.refused_share("north", from_s=8) > 0.2
        assert planned.timely_share() > baseline.timely_share() + 0.08
        assert planned.refused_share("east") == planned.refused_share("west") == 0.0

    def test_first_plan_applies_at_once(self) -> None:
        """Guards against ten seconds of refusals until the share has grown step by step."""
        outcomes = Fleet(UNEVEN).run(steady, 0, 5)
        assert outcomes.share("north", "north", START_S + 0.8, START_S + 2) < 0.5

    def test_requests_stay_home_in_equal_regions(self) -> None:
        """Guards against a plan that moves requests between regions without need."""
        equal = dict.fromkeys(UNEVEN, 19)
        planned = Fleet(equal).run(steady, 0, 10)
        assert planned.ran == Fleet(equal, plans=False).run(steady, 0, 10).ran


class TestWaves:
    """Demand of the regions swings a third of a period apart."""

    def test_shares_follow_within_the_allowed_change(self) -> None:
        """Guards against shares that oscillate, and against those that never follow."""
        outcomes = Fleet(UNEVEN).run(waves, 0, 40)
        for region in REGIONS.values():
            # The first plan applies at once, within the window of the first requests.
            assert outcomes.max_shift(region, START_S + 1, 40) < 0.8 * MAX_SHIFT
        assert outcomes.refused_share("north", from_s=6) < 0.06
        baseline = Fleet(UNEVEN, plans=False).run(waves, 0, 40)
        assert baseline.refused_share("north", from_s=6) > 0.2


class TestMovingCallers:
    """Callers leave two VMs of the uneven region for the two others."""

    def test_moving_callers_keep_their_region_of_execution(self) -> None:
        """Guards against VMs that get many callers at once and apply another share to them."""

        def pick_vm(vms: list[Vm], now_s: float) -> Vm:
            moves = now_s >= 8 and fleet.random.random() < 0.85
            return fleet.random.choice(vms[2:] if moves else vms[:2])

        fleet = Fleet(UNEVEN)
        outcomes = fleet.run(steady, 0, 14, pick_vm)
        assert outcomes.max_shift("north", 4, 14) < 0.8 * MAX_SHIFT
        assert outcomes.refused_share("north", from_s=8) < 0.05


class TestRestartedVms:
    """Two of the four VMs of the uneven region start anew."""

    def test_new_vms_take_the_share_of_their_region(self) -> None:
        """Guards against new VMs that begin at home and follow the plan for ten seconds."""
        fleet = Fleet(UNEVEN)
        fleet.run(steady, 0, 9)
        fleet.restart_vms("z1", 2)
        outcomes = fleet.run(steady, 9, 14)
        assert outcomes.max_shift("north", 5, 14) < MAX_SHIFT
        assert outcomes.share("north", "north", 10.5, 12) < 0.4


class TestLostRegion:
    """The targets of a region are lost at the peak."""

    @pytest.mark.parametrize("lost", ["z2", "z3"])
    def test_requests_run_in_the_regions_that_are_left(self, lost: str) -> None:
        """Guards against requests that keep going to a region without targets."""
        results = []
        for plans in (True, False):
            fleet = Fleet(UNEVEN, plans=plans)
            fleet.run(waves, 0, 9)
            fleet.lose_targets(lost, 9.0)
            results.append(fleet.run(waves, 9, 16))
        planned, baseline = results
        assert planned.share("north", REGIONS[lost], 9, 16) == 0.0
        assert planned.share(REGIONS[lost], REGIONS[lost], 9, 16) == 0.0
        assert planned.refused_share("north", 9) < baseline.refused_share("north", 9) - 0.2
        assert planned.refused_share(REGIONS[lost], 9) < 0.05
        assert planned.timely_share(9) > baseline.timely_share(9) + 0.1


class TestOldPlan:
    """The VMs hear nothing of each other."""

    def test_plan_of_five_seconds_ago_is_left_gradually(self) -> None:
        """Guards against requests that all return to a full region when the sums are too old."""
        fleet = Fleet(UNEVEN)
        fleet.run(steady, 0, 8)
        fleet.connected = False
        outcomes = fleet.run(steady, 8, 20)
        router = fleet.vms[0].tracker.router
        assert router.assign("records", True, 20.0) is None
        assert outcomes.max_shift("north", 4, 20) <= MAX_SHIFT
