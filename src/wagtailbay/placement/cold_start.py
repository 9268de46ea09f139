"""Limit the request rate to cold targets across the fleet."""

from collections.abc import Callable, Collection

from attrs import define, field

from wagtailbay.limits import TokenBucket
from wagtailbay.membership.selection import rendezvous_order
from wagtailbay.placement.const import ASSUMED_MIN_REGION_VMS, COLD_BURST_FRACTION
from wagtailbay.registry import RegisteredTarget
from wagtailbay.requirements import FleetRequirements
from wagtailbay.routing import ServiceRule


@define
class ColdStartLimiter:
    """Enforce this VM's share of the rate limit of each cold target.

    Only VMs of a target's region send to it while it is cold, and in a large region only a few of
    them, each with an equal share. The shares therefore add up to the limit without coordination,
    and the initial burst, one token for each sender, stays small.

    Attributes:
        region_vms: Returns the names of the live VMs of the region, this one included.
        buckets: Token bucket by target.
    """

    vm: str
    region_vms: Callable[[], Collection[str]]
    buckets: dict[str, TokenBucket] = field(factory=dict)
    requirements: FleetRequirements = field(factory=FleetRequirements)

    def max_senders(self, rate_per_s: float) -> int:
        """Return how many VMs may send to a cold target, each with a burst of one request.

        In any second, the bursts and the rate itself stay below what the target must bear.
        """
        required = self.requirements
        burst = required.cold_slack + (required.cold_overage - 1) * rate_per_s * COLD_BURST_FRACTION
        return max(1, int(burst))

    def admits(
        self, target: RegisteredTarget, rule: ServiceRule | None, is_local: bool, now_s: float
    ) -> bool:
        """Return whether a target is warm or its limit admits one more request."""
        if not target.is_cold(now_s) or rule is None or rule.cold_per_s <= 0:
            return True
        return is_local and self.take(target.entry.target, rule.cold_per_s, now_s)

    def take(self, target: str, rate_per_s: float, now_s: float) -> bool:
        """Consume a token for one request; return False if none is left."""
        senders = self.region_vms()
        max_senders = self.max_senders(rate_per_s)
        if len(senders) > max_senders:
            senders = rendezvous_order(f"cold\0{target}", senders)[:max_senders]
        if self.vm not in senders:
            return False
        own_per_s = rate_per_s / max(ASSUMED_MIN_REGION_VMS, len(senders))
        bucket = self.buckets.get(target)
        if bucket is None:
            bucket = self.buckets[target] = TokenBucket(own_per_s, 1.0, 1.0, now_s)
        elif bucket.rate_per_s != own_per_s:
            bucket.resize(own_per_s, 1.0, now_s)
        return bucket.take(1.0, now_s)

    def prune(self, targets: set[str]) -> None:
        """Remove the buckets of all targets except the given ones."""
        for name in self.buckets.keys() - targets:
            del self.buckets[name]
