"""Tests for region and link budgets."""

from wagtailbay.allotment import EqualShares
from wagtailbay.config import (
    AvailabilityZone,
    FleetDocument,
    Link,
    RegionCapacity,
    ServiceDocument,
)
from wagtailbay.steer.budgets import LinkBudget, RegionBudget

DOCUMENT = ServiceDocument("records", "", (), (), (), (RegionCapacity("mx-a", 10.0),))
FLEET = FleetDocument(1, (AvailabilityZone("a1", "mx-a"),), (Link("mx-a", "mx-b", 8.0),))


class TestRegionBudget:
    """Requests to a region are limited to its capacity."""

    def budget(self, factor: float = 1.0) -> RegionBudget:
        """Return the budget of a single VM, which gets the whole share."""
        shares = EqualShares(lambda: 1, 0.0)
        services = {"records": DOCUMENT}
        return RegionBudget(shares, services.get, lambda service, region: factor)

    def test_burst_is_half_a_second_of_the_rate(self) -> None:
        """Guards against a burst above the refill rate that overloads a region."""
        budget = self.budget()
        assert sum(budget.take("records", "mx-a", 1.0) for _ in range(50)) == 5

    def test_unhealthy_slots_lower_the_rate(self) -> None:
        """Guards against a region that gets its documented load although its targets are down."""
        budget = self.budget(factor=0.0)
        assert not budget.take("records", "mx-a", 1.0)

    def test_undocumented_region_gets_no_requests(self) -> None:
        """Guards against requests sent to a region without a documented capacity."""
        assert not self.budget().take("records", "mx-z", 1.0)
        assert not self.budget().take("none", "mx-a", 1.0)


class TestLinkBudget:
    """Responses on a link are limited to its capacity."""

    def test_overdrawn_link_has_no_capacity_until_refilled(self) -> None:
        """Guards against large responses that exceed the link's capacity on average."""
        budget = LinkBudget(EqualShares(lambda: 1, 0.0), lambda: FLEET)
        assert budget.has_capacity("mx-a", "mx-b", 1.0)
        budget.charge("mx-a", "mx-b", 1_200_000, 1.0)
        assert not budget.has_capacity("mx-a", "mx-b", 1.9)
        assert budget.has_capacity("mx-a", "mx-b", 2.1)

    def test_unlimited_link_has_capacity(self) -> None:
        """Guards against blocked traffic inside a region, which no link limits."""
        budget = LinkBudget(EqualShares(lambda: 1, 0.0), lambda: FLEET)
        budget.charge("mx-a", "mx-a", 10**12, 1.0)
        assert budget.has_capacity("mx-a", "mx-a", 1.0)
