"""Tests for the measurement of region usage."""

import pytest

from wagtailbay.allotment import EqualShares
from wagtailbay.config import FleetDocument, RegionCapacity, ServiceDocument
from wagtailbay.steer.budgets import LinkBudget, RegionBudget, SharedBudgets
from wagtailbay.steer.const import USAGE_WINDOW_S

DOCUMENT = ServiceDocument("records", "", (), (), (), (RegionCapacity("mx-a", 100.0),))


def shared_budgets() -> SharedBudgets:
    """Return the budgets of a single VM, which gets the whole share."""
    shares = EqualShares(lambda: 1, 0.0)
    fleet = FleetDocument(1, ())
    regions = RegionBudget(shares, {"records": DOCUMENT}.get)
    return SharedBudgets(regions, LinkBudget(shares, lambda: fleet))


class TestRegionUsage:
    """Status reports how much of a region's capacity a VM uses."""

    def test_steady_rate_is_measured(self) -> None:
        """Guards against reported headroom that doesn't follow the traffic."""
        budgets = shared_budgets()
        for tick in range(20, 820):
            assert budgets.take_region_budget(DOCUMENT, "mx-a", tick / 20.0, 0.5)
        region_usage = budgets.usage.status(819 / 20.0)["records/mx-a"]
        assert region_usage["used_per_s"] == pytest.approx(20.0, rel=0.05)
        assert region_usage["usable_per_s"] == 50.0

    def test_usage_decays_without_traffic(self) -> None:
        """Guards against a region that appears near its capacity after its traffic has stopped."""
        budgets = shared_budgets()
        budgets.take_region_budget(DOCUMENT, "mx-a", 1.0)
        later_s = 1.0 + 10 * USAGE_WINDOW_S
        assert budgets.usage.status(later_s)["records/mx-a"]["used_per_s"] < 0.001

    def test_refused_requests_are_not_counted(self) -> None:
        """Guards against rejected requests that count as usage of a region."""
        budgets = shared_budgets()
        assert not budgets.take_region_budget(DOCUMENT, "mx-z", 1.0)
        assert budgets.usage.status(1.0) == {}
