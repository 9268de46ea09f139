"""Test the checks of regions and links on histories made by hand."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.regions import check_regions

PLACES = {"t-south": ("catalog", "south"), "t-north": ("catalog", "north")}


def build(per_s: float, **parts: object) -> HistoryBuilder:
    """Return 10 s of requests from the north that spill to the south."""
    builder = HistoryBuilder(places=PLACES, **parts)
    for number in range(round(10 * per_s)):
        builder.request(number / per_s, "t-south", answer_bytes=1_000)
    return builder


class TestRegions:
    """Runs stay within the capacity of their region."""

    def test_capacity(self) -> None:
        """Guards against an overloaded region, and against a check that forbids the capacity."""
        for per_s, found in ((20.0, False), (30.0, True)):
            builder = build(per_s, capacities={("catalog", "south"): 20.0})
            assert bool(list(check_regions(builder.history))) is found

    def test_short_overload(self) -> None:
        """Guards against a second of overload that the average hides."""
        builder = build(5.0, capacities={("catalog", "south"): 20.0})
        for number in range(50):
            builder.request(20 + number / 100, "t-south")
        assert list(check_regions(builder.history))


class TestLinks:
    """Answers that cross a link stay within its bytes/s."""

    def test_budget(self) -> None:
        """Guards against a link whose budget is ignored."""
        for bytes_per_s, found in ((20_000.0, False), (10_000.0, True)):
            builder = build(20.0, links={("south", "north"): bytes_per_s})
            assert bool(list(check_regions(builder.history))) is found

    def test_other_direction_is_free(self) -> None:
        """Guards against answers charged to the link of the requests."""
        builder = build(20.0, links={("north", "south"): 10.0})
        assert not list(check_regions(builder.history))
