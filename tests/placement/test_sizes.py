"""Test the placement of large exchanges: zone-local traffic against cached objects."""

import random

import pytest
from support.gateway import make_entry, make_registry

from wagtailbay.placement import (
    ColdStartLimiter,
    ExchangeSizes,
    PlacementQuery,
    TargetOutcome,
    TargetSelector,
)

REGIONS = {"z1": "north", "z2": "north"}


def make_zone_selector(zone: str) -> TargetSelector:
    """Return the selector of a VM in a region with two zones of three targets each."""
    entries = [make_entry(f"t{n}", availability_zone=f"z{1 + n % 2}", slots=9) for n in range(6)]
    return TargetSelector(
        zone,
        REGIONS,
        make_registry(*entries),
        dict,
        ColdStartLimiter("vm-1", list),
        random.Random(1),
    )


def run_requests(is_large: bool) -> tuple[float, int]:
    """Send requests for 20 objects from both zones.

    Returns the share of requests that cross zones and the number of object placements.
    """
    cross_zone, placements = 0, set()
    selectors = [make_zone_selector("z1"), make_zone_selector("z2")]
    for turn in range(400):
        selector = selectors[turn % 2]
        query = PlacementQuery("records", str(turn // 2 % 20), 600.0, is_large=is_large)
        found = selector.select(query, turn / 100).ok_value
        target = found.target.entry
        cross_zone += target.availability_zone != selector.availability_zone
        placements.add((query.affinity, target.target))
        selector.finish(found, TargetOutcome.ANSWERED, 100.0, None, turn / 100)
    return cross_zone / 400, len(placements)


class TestLargeExchanges:
    """Callers in both zones of a region use the same objects."""

    def test_large_exchanges_stay_in_their_zone(self) -> None:
        """Guards against paying for the bytes of half of all large exchanges between zones."""
        cross_zone, placements = run_requests(is_large=True)
        baseline, _ = run_requests(is_large=False)
        assert cross_zone == 0
        assert baseline == pytest.approx(0.5, abs=0.1)
        assert placements <= 40, "an object must have at most one target in each zone"

    def test_small_exchanges_use_one_target_per_region(self) -> None:
        """Guards against slow cache misses when each zone handles an object separately."""
        _, placements = run_requests(is_large=False)
        assert placements == 20

    def test_full_zone_falls_back_to_the_preferred_target_of_the_region(self) -> None:
        """Guards against a refusal or a third cached copy while the other zone has the object."""
        selector = make_zone_selector("z1")
        query = PlacementQuery("records", "7", 600.0, is_large=True)
        small = PlacementQuery("records", "7", 600.0)
        preferred = selector.select(small, 0.0).ok_value.target.entry.target
        first = selector.select(query, 0.0).ok_value.target
        selector.load_of(first).own_in_flight = 100
        second = selector.select(query, 0.0).ok_value.target.entry.target
        assert first.entry.availability_zone == "z1"
        assert second == preferred or preferred == first.entry.target

    def test_busy_service_keeps_one_target_per_object(self) -> None:
        """Guards against cache misses, which take three times as long, while slots are scarce."""
        selector = make_zone_selector("z1")
        for target in selector.registry.targets.values():
            selector.load_of(target).own_in_flight = 7
        for number in range(20):
            large = PlacementQuery("records", str(number), 600.0, is_large=True)
            selected = selector.select(large, 0.0).ok_value.target
            selector.load_of(selected).own_in_flight -= 1
            small = selector.select(PlacementQuery("records", str(number), 600.0), 0.0)
            selector.load_of(small.ok_value.target).own_in_flight -= 1
            assert selected is small.ok_value.target


class TestExchangeSizes:
    """Large exchanges are detected by route and by request."""

    def test_large_exchange_is_detected_by_route_mean_or_request_size(self) -> None:
        """Guards against treating a large answer, or a large body on a new route, as small."""
        sizes = ExchangeSizes()
        assert not sizes.is_large("reads", 0)
        assert sizes.is_large("reads", 5_000)
        for _ in range(20):
            sizes.record("reads", 400)
            sizes.record("deposits", 6_000)
        assert not sizes.is_large("reads", 0)
        assert sizes.is_large("deposits", 0)
