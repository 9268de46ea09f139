"""Keep requests to regions and bytes on links within their capacity over the whole fleet."""

from collections.abc import Callable
from math import inf

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
from wagtailbay.steer.usage import RegionUsage

__all__ = ["LinkBudget", "RegionBudget", "SharedBudgets"]


@define
class RegionBudget:
    """Spend the requests/s that each service may send to each region.

    Attributes:
        document: Returns the document in force of a service, None if there is none.
        capacity_factor: Returns the part of a region's documented capacity that is usable now,
            for example its healthy slots / all slots.
        limits: The limit of each service and region with the document and factor it comes from.
    """

    shares: ShareSource
    document: Callable[[str], ServiceDocument | None]
    capacity_factor: Callable[[str, str], float] = lambda service, region: 1.0
    limits: dict[tuple[str, str], tuple[ServiceDocument | None, float, BudgetLimit | None]] = field(
        factory=dict
    )

    def take(self, service: str, region: str, now_s: float) -> bool:
        """Take one request; False without capacity, also for an undocumented region."""
        account = self.account(service, region, now_s)
        if account is None:
            return False
        self.shares.record_demand(region_budget(service, region), 1.0, now_s)
        return account.take(1.0, now_s)

    def account(self, service: str, region: str, now_s: float) -> TokenAccount | None:
        """Return this VM's account of a region, None for an undocumented one."""
        document = self.document(service)
        factor = min(1.0, max(0.0, self.capacity_factor(service, region)))
        cached = self.limits.get((service, region))
        if cached is None or cached[0] is not document or cached[1] != factor:
            cached = (document, factor, _region_limit(document, region, factor))
            self.limits[(service, region)] = cached
        if cached[2] is None:
            return None
        return self.shares.account(region_budget(service, region), cached[2], now_s)


def _region_limit(
    document: ServiceDocument | None, region: str, factor: float
) -> BudgetLimit | None:
    capacities = document.regions if document else ()
    capacity_per_s = next((c.capacity_per_s for c in capacities if c.region == region), None)
    return None if capacity_per_s is None else region_limit(capacity_per_s, factor)


@define
class LinkBudget:
    """Spend the bytes/s that may pass from one region to another.

    The size of a response is known only once it has passed, so a charge may bring the level below
    zero; then the link has no room until the rate has made up for it.
    """

    shares: ShareSource
    fleet: Callable[[], FleetDocument | None]

    def has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
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
    healthy_fractions: dict[tuple[str, str], float] = field(factory=dict)
    usage: RegionUsage = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Let the capacity of a region follow its healthy part."""
        self.usage = RegionUsage(self.regions.document, self.healthy_fractions)
        self.regions.capacity_factor = lambda service, region: self.healthy_fractions.get(
            (service, region), 1.0
        )

    def take_region_budget(
        self,
        service: ServiceDocument,
        region: str,
        now_s: float,
        healthy_fraction: float = 1.0,
    ) -> bool:
        """Take the budget of one request to a region; False if there is none."""
        self.healthy_fractions[(service.service, region)] = healthy_fraction
        if not self.regions.take(service.service, region, now_s):
            return False
        self.usage.record(service.service, region, now_s)
        return True

    def subscribe(
        self, service: ServiceDocument, region: str, now_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call back when budget for a region comes from another VM; returns how to end that."""
        account = self.regions.account(service.service, region, now_s)
        if account is None:
            return lambda: None
        followers = account.changed.followers
        followers.append(callback)
        return lambda: followers.remove(callback)

    def wait_s(self, service: ServiceDocument, region: str, now_s: float) -> float:
        """Return the time until this VM's own rate has brought the budget of one request."""
        account = self.regions.account(service.service, region, now_s)
        return inf if account is None else account.wait_s(1.0, now_s)

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Tell whether the link that carries responses may take one more."""
        return self.links.has_capacity(from_region, to_region, now_s)

    def charge_link(
        self, from_region: str, to_region: str, response_bytes: int, now_s: float
    ) -> None:
        """Charge what a response used of a link."""
        self.links.charge(from_region, to_region, response_bytes, now_s)
