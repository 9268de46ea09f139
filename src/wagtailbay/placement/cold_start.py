"""Keep what cold targets get over the whole fleet within what they bear."""

from collections.abc import Callable, Collection

from attrs import define, field

from wagtailbay.limits import TokenBucket
from wagtailbay.membership.choice import rendezvous_order
from wagtailbay.placement.const import ASSUMED_MIN_REGION_VMS, MAX_COLD_SENDERS


@define
class ColdStartLimiter:
    """Hold this VM's part of the rate of each cold target.

    Only VMs of a target's own region send to it while it is cold, and in a large region only a
    few, each with an even part. So the parts add up to the rate without messages, and the tokens
    that the VMs hold for the first moment stay few.

    Attributes:
        region_vms: Returns the names of the live VMs of the region, this one included.
    """

    vm: str
    region_vms: Callable[[], Collection[str]]
    buckets: dict[str, TokenBucket] = field(factory=dict)

    def take(self, target: str, rate_per_s: float, now_s: float) -> bool:
        """Take the budget of one request; False if there is none."""
        senders = self.region_vms()
        if len(senders) > MAX_COLD_SENDERS:
            senders = rendezvous_order(f"cold\0{target}", senders)[:MAX_COLD_SENDERS]
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
        """Drop the buckets of targets that are not among the given ones."""
        for name in self.buckets.keys() - targets:
            del self.buckets[name]
