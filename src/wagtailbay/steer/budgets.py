"""Enforce fleet-wide budgets: requests per region and bytes per link between regions."""

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
    """Limits the request rate of each service to each region.

    Attributes:
        document: Returns the current document of a service, None if there is none.
        capacity_factor: Returns the fraction of a region's documented capacity that is usable now,
            for example healthy slots / all slots.
        limits: Cached limit by service and region, with the document and factor it is based on.
    """

    shares: ShareSource
    document: Callable[[str], ServiceDocument | None]
    capacity_factor: Callable[[str, str], float] = lambda service, region: 1.0
    limits: dict[tuple[str, str], tuple[ServiceDocument | None, float, BudgetLimit | None]] = field(
        factory=dict
    )

    def take(self, service: str, region: str, now_s: float) -> bool:
        """Take budget for one request.

        Returns:
            Whether budget was left; False for a region that the service document does not list.
        """
        account = self.account(service, region, now_s)
        if account is None:
            return False
        self.shares.record_demand(region_budget(service, region), 1.0, now_s)
        return account.take(1.0, now_s)

    def account(self, service: str, region: str, now_s: float) -> TokenAccount | None:
        """Return this VM's token account for a region, None if the region is undocumented."""
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
    """Limits the bytes/s transferred from one region to another.

    The size of a response is known only after its transfer, so a charge may overdraw the account.
    The link then has no capacity until the account is refilled above zero.
    """

    shares: ShareSource
    fleet: Callable[[], FleetDocument | None]

    def has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Return whether the link can carry another response; an undocumented link always can."""
        account = self._account(from_region, to_region, now_s)
        if account is None or account.level(now_s) > 0.0:
            return True
        account.may_borrow(1.0, now_s)
        return False

    def charge(self, from_region: str, to_region: str, response_bytes: int, now_s: float) -> None:
        """Charge the bytes of a transferred response to the link."""
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
    """Provides the chooser with this VM's share of the region and link budgets.

    Attributes:
        healthy_fractions: Healthy fraction of the slots by service and region, as last passed by
            the chooser.
    """

    regions: RegionBudget
    links: LinkBudget
    healthy_fractions: dict[tuple[str, str], float] = field(factory=dict)
    usage: RegionUsage = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Scale the capacity of each region by its healthy fraction."""
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
        """Take budget for one request to a region and return whether any was left."""
        self.healthy_fractions[(service.service, region)] = healthy_fraction
        if not self.regions.take(service.service, region, now_s):
            return False
        self.usage.record(service.service, region, now_s)
        return True

    def subscribe(
        self, service: ServiceDocument, region: str, now_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call back when another VM transfers budget for a region; returns the unsubscriber."""
        account = self.regions.account(service.service, region, now_s)
        if account is None:
            return lambda: None
        followers = account.changed.callbacks
        followers.append(callback)
        return lambda: followers.remove(callback)

    def wait_s(self, service: ServiceDocument, region: str, now_s: float) -> float:
        """Return the time until this VM's own refill rate provides budget for one request."""
        account = self.regions.account(service.service, region, now_s)
        return inf if account is None else account.wait_s(1.0, now_s)

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Return whether the link can carry another response."""
        return self.links.has_capacity(from_region, to_region, now_s)

    def charge_link(
        self, from_region: str, to_region: str, response_bytes: int, now_s: float
    ) -> None:
        """Charge the bytes of a response to the link that carried it."""
        self.links.charge(from_region, to_region, response_bytes, now_s)
