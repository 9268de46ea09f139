"""Test the budgets of regions and links."""

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
    """A region gets no more requests than its capacity."""

    def budget(self, factor: float = 1.0) -> RegionBudget:
        """Return the budget of one VM that has the whole share."""
        shares = EqualShares(lambda: 1, 0.0)
        services = {"records": DOCUMENT}
        return RegionBudget(shares, services.get, lambda service, region: factor)

    def test_burst_is_half_a_second_of_the_rate(self) -> None:
        """Guards against an overload of a region."""
        budget = self.budget()
        assert sum(budget.take("records", "mx-a", 1.0) for _ in range(50)) == 5

    def test_unhealthy_slots_lower_the_rate(self) -> None:
        """Guards against full load on a region whose targets are down."""
        budget = self.budget(factor=0.0)
        assert not budget.take("records", "mx-a", 1.0)

    def test_undocumented_region_gets_no_requests(self) -> None:
        """Guards against traffic to a region for which nobody stated a capacity."""
        assert not self.budget().take("records", "mx-z", 1.0)
        assert not self.budget().take("none", "mx-a", 1.0)


class TestLinkBudget:
    """A link has no room after more bytes than its rate."""

    def test_overdrawn_link_has_no_capacity_until_refilled(self) -> None:
        """Guards against large responses that exceed the link's capacity."""
        budget = LinkBudget(EqualShares(lambda: 1, 0.0), lambda: FLEET)
        assert budget.has_capacity("mx-a", "mx-b", 1.0)
        budget.charge("mx-a", "mx-b", 1_200_000, 1.0)
        assert not budget.has_capacity("mx-a", "mx-b", 1.9)
        assert budget.has_capacity("mx-a", "mx-b", 2.1)

    def test_unlimited_link_has_capacity(self) -> None:
        """Guards against blocking traffic inside a region."""
        budget = LinkBudget(EqualShares(lambda: 1, 0.0), lambda: FLEET)
        budget.charge("mx-a", "mx-a", 10**12, 1.0)
        assert budget.has_capacity("mx-a", "mx-a", 1.0)
