"""Fleet-wide request rate caps of new versions."""

from attrs import define

from wagtailbay.config import ServiceDocument
from wagtailbay.limits import ShareSource, version_budget
from wagtailbay.limits.rates import version_limit


@define
class UncappedVersions:
    """Allow every request; the baseline without caps."""

    def try_acquire(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Allow the request."""
        return True


@define
class SharedVersionCaps:
    """Enforce this VM's share of each cap.

    The tokens of all VMs together never exceed the burst of the budget.
    """

    shares: ShareSource

    def try_acquire(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Take a token for one request to the version; return False if none is left."""
        budget = version_budget(service.service, version)
        self.shares.record_demand(budget, 1.0, now_s)
        return self.shares.account(budget, version_limit(cap_per_s), now_s).take(1.0, now_s)
