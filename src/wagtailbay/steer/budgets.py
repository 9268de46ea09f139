"""Keep requests to regions and bytes on links within their capacity over the whole fleet."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.config import FleetDocument, ServiceDocument
from wagtailbay.limits import (
    BudgetLimit,
    ShareSource,
    TokenAccount,
    link_budget,
    region_budget,
)
from wagtailbay.limits.rates import link_limit, region_limit


@define
class RegionBudget:
    """Spend the requests/s that each service may send to each region.

    Attributes:
        document: Returns the document in force of a service, None if there is none.
        capacity_factor: Returns the part of a region's documented capacity that is usable now,
            for example its healthy slots / all slots.
    """

    shares: ShareSource
    document: Callable[[str], ServiceDocument | None]
    capacity_factor: Callable[[str, str], float] = lambda service, region: 1.0

    def take(self, service: str, region: str, now_s: float) -> bool:
        """Take one request; False without capacity, also for an undocumented region."""
        account = self._account(service, region, now_s)
        if account is None:
            return False
        return account.take(1.0, now_s)

    def _account(self, service: str, region: str, now_s: float) -> TokenAccount | None:
        document = self.document(service)
        capacities = document.regions if document else ()
        capacity_per_s = next((c.capacity_per_s for c in capacities if c.region == region), None)
        if capacity_per_s is None:
            return None
        factor = min(1.0, max(0.0, self.capacity_factor(service, region)))
        budget = region_budget(service, region)
        self.shares.record_demand(budget, 1.0, now_s)
        return self.shares.account(budget, region_limit(capacity_per_s, factor), now_s)


@define
class LinkBudget:
    """Spend the bytes/s that may pass from one region to another.

    The size of a response is known only once it has passed, so a charge may bring the level below
    zero; then the link has no room until the rate has made up for it.
    """

    shares: ShareSource
    fleet: Callable[[], FleetDocument | None]

    def has_room(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Tell whether a further response may pass; a link that no document limits has room."""
        account = self._account(from_region, to_region, now_s)
        if account is None or account.level(now_s) > 0.0:
            return True
        account.may_borrow(1.0, now_s)
        return False

    def charge(self, from_region: str, to_region: str, response_bytes: int, now_s: float) -> None:
        """Count the bytes of a response that passed."""
        self.shares.record_demand(link_budget(from_region, to_region), response_bytes, now_s)
        account = self._account(from_region, to_region, now_s)
        if account is not None:
            account.charge(float(response_bytes), now_s)

    def _account(self, from_region: str, to_region: str, now_s: float) -> TokenAccount | None:
        limit = self._limit(from_region, to_region)
        if limit is None:
            return None
        return self.shares.account(link_budget(from_region, to_region), limit, now_s)

    def _limit(self, from_region: str, to_region: str) -> BudgetLimit | None:
        fleet = self.fleet()
        for link in fleet.links if fleet else ():
            if (link.from_region, link.to_region) == (from_region, to_region):
                return link_limit(link)
        return None


@define
class SharedBudgets:
    """Supply the chooser with this VM's part of region and link budgets."""

    regions: RegionBudget
    links: LinkBudget
    healthy: dict[tuple[str, str], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Let the capacity of a region follow its healthy part."""
        self.regions.capacity_factor = lambda service, region: self.healthy.get(
            (service, region), 1.0
        )

    def take_region(
        self,
        service: ServiceDocument,
        region: str,
        now_s: float,
        healthy_fraction: float = 1.0,
    ) -> bool:
        """Take the budget of one request to a region; False if there is none."""
        self.healthy[(service.service, region)] = healthy_fraction
        return self.regions.take(service.service, region, now_s)

    def link_has_room(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Tell whether the link that carries responses may take one more."""
        return self.links.has_room(from_region, to_region, now_s)

    def charge_link(
        self, from_region: str, to_region: str, response_bytes: int, now_s: float
    ) -> None:
        """Charge what a response used of a link."""
        self.links.charge(from_region, to_region, response_bytes, now_s)
