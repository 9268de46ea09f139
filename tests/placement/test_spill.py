"""Test the share of requests that leaves the region."""

import random

import pytest
from result import Ok
from support.gateway import entry, registry_of

from wagtailbay.placement import ColdBudget, PlacementQuery, Placer, SpillLimiter

REGIONS = {"z1": "north", "z3": "south"}


class TestSpillLimiter:
    """Move the share slowly."""

    def test_share_moves_at_most_by_its_step(self):
        """Guards against a shift of more than 15% of a region's requests within 2 s."""
        limiter, taken = SpillLimiter(), []
        for tick in range(1_000):
            now_s = tick / 100
            limiter.observe(needs_room=now_s < 5, home_lost=False, now_s=now_s)
            taken.append(limiter.take())
        shares = [sum(taken[i : i + 200]) / 200 for i in range(0, 1_000, 200)]
        assert max(abs(b - a) for a, b in zip(shares, shares[1:], strict=False)) <= 0.1
        assert max(shares) > 0.1

    def test_lost_home_spills_at_once(self):
        """Guards against refusals while other regions could serve."""
        limiter = SpillLimiter()
        for tick in range(20):
            limiter.observe(needs_room=True, home_lost=True, now_s=tick / 100)
        assert limiter.share > 0.9


class TestRegionNearlyFull:
    """Serve a region whose own targets do not suffice."""

    def test_requests_with_homes_do_not_count_as_need(self):
        """Guards against a region that is emptied by requests that may not run in it."""
        placer = Placer(
            "z1",
            REGIONS,
            registry_of(entry("a", slots=50), entry("b", availability_zone="z3", slots=50)),
            dict,
            ColdBudget("vm-1", list),
            random.Random(1),
        )
        regions = []
        for tick in range(400):
            now_s = tick / 100
            homes = frozenset({"south"}) if tick % 4 == 0 else frozenset()
            found = placer.choose(
                PlacementQuery("records", str(tick % 9), 600.0, allowed_regions=homes), now_s
            )
            assert isinstance(found, Ok)
            if not homes:
                regions.append(found.ok_value.region)
            placer.load_of(found.ok_value.target).own = 0
        assert set(regions) == {"north"}

    @pytest.mark.parametrize(("others", "used"), [(0, 6), (10, 3)])
    def test_an_idle_region_takes_more_than_a_busy_one(self, others: int, used: int) -> None:
        """Guards against refusals in one region while another one is half empty."""
        away = [entry(f"b{n}", availability_zone="z3", slots=10) for n in range(4)]
        placer = Placer(
            "z1",
            REGIONS,
            registry_of(entry("a", slots=1), *away),
            dict,
            ColdBudget("vm-1", list),
            random.Random(1),
        )
        for target in placer.registry.targets.values():
            placer.load_of(target).own = 10 if target.entry.target == "a" else others
        chosen = placer.registry.targets["b0"]
        placer.load_of(chosen).own = 0
        placer.spills["records"] = SpillLimiter(share=1.0, wanted=1.0)
        for _ in range(20):
            placer.choose(PlacementQuery("records", "7", 600.0), 0.0)
        assert placer.load_of(chosen).own == used
