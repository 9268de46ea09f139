"""Test the checks of regions and links on histories made by hand."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.regions import check_regions

TARGET_LOCATIONS = {"t-south": ("catalog", "south"), "t-north": ("catalog", "north")}


def add_spilled_requests(rate_per_s: float, **history_fields: object) -> HistoryBuilder:
    """Return 10 s of requests from the north that spill to the south."""
    builder = HistoryBuilder(target_locations=TARGET_LOCATIONS, **history_fields)
    for number in range(round(10 * rate_per_s)):
        builder.add_request(number / rate_per_s, "t-south", response_bytes=1_000)
    return builder


class TestRegions:
    """Runs stay within the capacity of their region."""

    def test_capacity(self) -> None:
        """Guards against an overloaded region, and against a check that forbids the capacity."""
        for rate_per_s, is_violation in ((20.0, False), (30.0, True)):
            builder = add_spilled_requests(
                rate_per_s, region_capacities_per_s={("catalog", "south"): 20.0}
            )
            assert bool(list(check_regions(builder.history))) is is_violation

    def test_short_overload(self) -> None:
        """Guards against a second of overload that the average hides."""
        builder = add_spilled_requests(5.0, region_capacities_per_s={("catalog", "south"): 20.0})
        for number in range(50):
            builder.add_request(20 + number / 100, "t-south")
        assert list(check_regions(builder.history))


class TestLinks:
    """Answers that cross a link stay within its bytes/s."""

    def test_budget(self) -> None:
        """Guards against a link whose budget is ignored."""
        for bytes_per_s, is_violation in ((20_000.0, False), (10_000.0, True)):
            builder = add_spilled_requests(20.0, link_bytes_per_s={("south", "north"): bytes_per_s})
            assert bool(list(check_regions(builder.history))) is is_violation

    def test_other_direction_is_not_charged(self) -> None:
        """Guards against answers charged to the link of the requests."""
        builder = add_spilled_requests(20.0, link_bytes_per_s={("north", "south"): 10.0})
        assert not list(check_regions(builder.history))
