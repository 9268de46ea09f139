"""Keep what cold targets get over the whole fleet within what they bear."""

from attrs import define, field

from wagtailbay.limits import TokenBucket


@define
class ColdBudget:
    """Hold this VM's part of the rate of each cold target.

    Only VMs of a target's own region send to it while it is cold, and each has an even part, so
    the parts add up to the rate without messages.
    """

    buckets: dict[str, TokenBucket] = field(factory=dict)

    def take(self, target: str, rate_per_s: float, region_vms: int, now_s: float) -> bool:
        """Take the budget of one request; False if there is none."""
        own_per_s = rate_per_s / max(1, region_vms)
        bucket = self.buckets.get(target)
        if bucket is None:
            bucket = self.buckets[target] = TokenBucket(own_per_s, 1.0, 1.0, now_s)
        elif bucket.rate_per_s != own_per_s:
            bucket.resize(own_per_s, 1.0, now_s)
        return bucket.take(1.0, now_s)

    def forget(self, targets: set[str]) -> None:
        """Drop the buckets of targets that are not among the given ones."""
        for name in self.buckets.keys() - targets:
            del self.buckets[name]
