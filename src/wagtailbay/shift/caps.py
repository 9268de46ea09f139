"""Hold new versions to their cap over the fleet."""

from attrs import define

from wagtailbay.config import ServiceDocument
from wagtailbay.limits import ShareSource, version_budget
from wagtailbay.limits.rates import version_limit


@define
class UncappedVersions:
    """Allow everything; the baseline without caps."""

    def try_acquire(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Allow the request."""
        return True


@define
class SharedVersionCaps:
    """Spend this VM's part of each cap; the tokens of all VMs never exceed the budget's burst."""

    shares: ShareSource

    def try_acquire(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Take one request of a version's cap."""
        budget = version_budget(service.service, version)
        self.shares.record_demand(budget, 1.0, now_s)
        return self.shares.account(budget, version_limit(cap_per_s), now_s).take(1.0, now_s)
