"""Test the headroom of regions."""

from typing import Any

from wagtailbay.admin.fleet import VmReport
from wagtailbay.admin.headroom import RegionHeadroom, headroom_problems, region_headroom


def make_report(vm: str, regions: Any) -> VmReport:
    """Return a VM report with the given ``regions`` section in its status."""
    return VmReport(vm, "", "a1", "live", "live", 1, status={"regions": regions})


class TestRegionHeadroom:
    """Headroom is computed over the reports of all VMs."""

    def test_usage_is_summed_and_lowest_capacity_counts(self) -> None:
        """Guards against overestimating headroom when each VM uses a small part of a region."""
        rates = {"used_per_s": 30.0, "usable_per_s": 100.0}
        reports = [
            make_report("vm-1", {"records/mx-a": rates}),
            make_report("vm-2", {"records/mx-a": rates | {"usable_per_s": 80.0}}),
        ]
        expected = RegionHeadroom("records", "mx-a", 60.0, 80.0, 25.0, 2)
        assert region_headroom(reports) == (expected,)

    def test_region_without_capacity_has_no_headroom(self) -> None:
        """Guards against a division by zero when all targets of a region are down."""
        rates = {"used_per_s": 0.0, "usable_per_s": 0.0}
        (found,) = region_headroom([make_report("vm-1", {"records/mx-a": rates})])
        assert found.headroom_percent == 0.0

    def test_malformed_entries_are_ignored(self) -> None:
        """Guards against a malformed status of one VM that makes the whole status fail."""
        for regions in (None, [], {"x": 1}, {"records/mx-a": {"used_per_s": "a"}}):
            assert region_headroom([make_report("vm-1", regions)]) == ()

    def test_low_headroom_is_reported(self) -> None:
        """Guards against a region near its capacity that the status does not report."""
        low = RegionHeadroom("records", "mx-a", 95.0, 100.0, 5.0, 2)
        high = RegionHeadroom("records", "mx-b", 50.0, 100.0, 50.0, 2)
        (problem,) = headroom_problems([low, high])
        assert problem["subject"] == "region records/mx-a"
        assert "95.0 of 100.0 requests/s" in problem["message"]
