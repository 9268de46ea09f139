"""Test the checks of regions and links on synthetic histories."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.regions import check_regions

TARGET_LOCATIONS = {"t-south": ("catalog", "south"), "t-north": ("catalog", "north")}


def add_spilled_requests(rate_per_s: float, **history_fields: object) -> HistoryBuilder:
    """Return a history with 10 s of requests that spill from north to south."""
    builder = HistoryBuilder(target_locations=TARGET_LOCATIONS, **history_fields)
    for number in range(round(10 * rate_per_s)):
        builder.add_request(number / rate_per_s, "t-south", response_bytes=1_000)
    return builder


class TestRegions:
    """The runs in a region stay within its capacity."""

    def test_capacity(self) -> None:
        """Guards against an overloaded region, and a check that rejects the full capacity."""
        for rate_per_s, is_violation in ((20.0, False), (30.0, True)):
            builder = add_spilled_requests(
                rate_per_s, region_capacities_per_s={("catalog", "south"): 20.0}
            )
            assert bool(list(check_regions(builder.history))) is is_violation

    def test_short_overload(self) -> None:
        """Guards against a short overload that disappears in the average."""
        builder = add_spilled_requests(5.0, region_capacities_per_s={("catalog", "south"): 20.0})
        for number in range(50):
            builder.add_request(20 + number / 100, "t-south")
        assert list(check_regions(builder.history))


class TestLinks:
    """The responses that cross a link stay within its bytes/s."""

    def test_budget(self) -> None:
        """Guards against an ignored budget, and a check that rejects traffic within the budget."""
        for bytes_per_s, is_violation in ((20_000.0, False), (10_000.0, True)):
            builder = add_spilled_requests(20.0, link_bytes_per_s={("south", "north"): bytes_per_s})
            assert bool(list(check_regions(builder.history))) is is_violation

    def test_other_direction_is_not_charged(self) -> None:
        """Guards against responses charged to the link in the direction of the requests."""
        builder = add_spilled_requests(20.0, link_bytes_per_s={("north", "south"): 10.0})
        assert not list(check_regions(builder.history))
