"""Test where large exchanges go: few bytes between zones against objects that are warm."""

import random

import pytest
from support.gateway import entry, registry_of

from wagtailbay.placement import ColdBudget, ExchangeSizes, PlacementQuery, Placer, TargetSign

REGIONS = {"z1": "north", "z2": "north"}


def placer_in(zone: str) -> Placer:
    """Return the placer of a VM in a region of two zones with three targets each."""
    entries = [entry(f"t{n}", availability_zone=f"z{1 + n % 2}", slots=9) for n in range(6)]
    return Placer(
        zone, REGIONS, registry_of(*entries), dict, ColdBudget("vm-1", list), random.Random(1)
    )


def play(is_large: bool) -> tuple[float, int]:
    """Send 20 objects' requests from both zones; return the part that crosses, and the copies."""
    crossed, copies = 0, set()
    placers = [placer_in("z1"), placer_in("z2")]
    for turn in range(400):
        placer = placers[turn % 2]
        query = PlacementQuery("records", str(turn // 2 % 20), 600.0, is_large=is_large)
        found = placer.choose(query, turn / 100).ok_value
        target = found.target.entry
        crossed += target.availability_zone != placer.availability_zone
        copies.add((query.affinity, target.target))
        placer.finish(found, TargetSign.ANSWERED, 100.0, None, turn / 100)
    return crossed / 400, len(copies)


class TestLargeExchanges:
    """Callers of both zones of a region use the same objects."""

    def test_large_ones_stay_in_their_zone(self) -> None:
        """Guards against paying for the bytes of half of all large exchanges."""
        crossed, copies = play(is_large=True)
        baseline, _ = play(is_large=False)
        assert crossed == 0
        assert baseline == pytest.approx(0.5, abs=0.1)
        assert copies <= 40, "an object has one target in each zone"

    def test_small_ones_have_one_target_in_the_region(self) -> None:
        """Guards against work that takes longer because each zone handles an object anew."""
        _, copies = play(is_large=False)
        assert copies == 20

    def test_a_full_zone_uses_the_regions_target(self) -> None:
        """Guards against a refusal or a third copy while the other zone has the object."""
        placer = placer_in("z1")
        query = PlacementQuery("records", "7", 600.0, is_large=True)
        small = PlacementQuery("records", "7", 600.0)
        in_region = placer.choose(small, 0.0).ok_value.target.entry.target
        first = placer.choose(query, 0.0).ok_value.target
        placer.load_of(first).own = 100
        second = placer.choose(query, 0.0).ok_value.target.entry.target
        assert first.entry.availability_zone == "z1"
        assert second == in_region or in_region == first.entry.target

    def test_a_busy_service_keeps_one_target_for_an_object(self) -> None:
        """Guards against work that takes three times as long just when slots are short."""
        placer = placer_in("z1")
        for target in placer.registry.targets.values():
            placer.load_of(target).own = 7
        for number in range(20):
            large = PlacementQuery("records", str(number), 600.0, is_large=True)
            chosen = placer.choose(large, 0.0).ok_value.target
            placer.load_of(chosen).own -= 1
            small = placer.choose(PlacementQuery("records", str(number), 600.0), 0.0)
            placer.load_of(small.ok_value.target).own -= 1
            assert chosen is small.ok_value.target


class TestExchangeSizes:
    """Routes are told apart by the bytes of their exchanges."""

    def test_a_route_is_known_by_its_mean_and_a_request_by_its_own_size(self) -> None:
        """Guards against a large answer, or a large body on a new route, taken for a small one."""
        sizes = ExchangeSizes()
        assert not sizes.is_large("reads", 0)
        assert sizes.is_large("reads", 5_000)
        for _ in range(20):
            sizes.record("reads", 400)
            sizes.record("deposits", 6_000)
        assert not sizes.is_large("reads", 0)
        assert sizes.is_large("deposits", 0)
