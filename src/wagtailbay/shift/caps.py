"""Hold new versions to their cap over the fleet."""

from typing import Protocol

from attrs import define, field

from wagtailbay.config import ServiceDocument
from wagtailbay.limits import TokenBucket


class ShareSource(Protocol):
    """Tell which part of a budget this VM may use."""

    def share(self, budget: str, now_s: float) -> float:
        """Return this VM's share of a budget, from 0 to 1."""

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Record that an amount was asked for, whether it was admitted or not."""


@define
class UncappedVersions:
    """Allow everything; the baseline without caps."""

    def take_version(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Allow the request."""
        return True


@define
class SharedVersionCaps:
    """Use this VM's share of each cap, at an even pace.

    A VM saves up at most one request, so in any second the fleet sends at most the cap and one
    request more for each VM.
    """

    shares: ShareSource
    buckets: dict[str, TokenBucket] = field(factory=dict)

    def take_version(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Take one request of a version's cap."""
        budget = f"version:{service.service}/{version}"
        self.shares.record_demand(budget, 1.0, now_s)
        rate_per_s = cap_per_s * self.shares.share(budget, now_s)
        bucket = self.buckets.get(budget)
        if bucket is None:
            bucket = self.buckets[budget] = TokenBucket(rate_per_s, 1.0, 0.0, now_s)
        if bucket.rate_per_s != rate_per_s:
            bucket.resize(rate_per_s, 1.0, now_s)
        return bucket.take(1.0, now_s)
