"""Limit how many requests change the region in which they run between two windows."""

from collections import deque
from collections.abc import Collection

from attrs import define, field

from wagtailbay.regions.const import BUCKETS_PER_WINDOW, MIN_WINDOW_REQUESTS, WINDOW_S

BUCKET_S = WINDOW_S / BUCKETS_PER_WINDOW


@define
class ShiftLimiter:
    """Compare where this VM's requests of a service ran in the last 2 s with the 2 s before.

    All VMs of a region keep the limit, so the region does, whichever its share of callers.

    Attributes:
        max_shift: Largest share of requests that may change their region.
        buckets: Number of requests by region in each eighth of the last two windows.
        current: Sum of the newer half of the buckets.
        before: Sum of the older half.
    """

    max_shift: float
    buckets: deque[dict[str, int]] = field(factory=deque)
    current: dict[str, int] = field(factory=dict)
    before: dict[str, int] = field(factory=dict)
    bucket_number: int | None = None

    def record(self, region: str, now_s: float, count: int = 1) -> None:
        """Count a request that runs in a region; -1 withdraws one that did not run there."""
        self._advance(now_s)
        newest = self.buckets[-1]
        newest[region] = newest.get(region, 0) + count
        self.current[region] = max(0, self.current.get(region, 0) + count)

    def allows(
        self,
        region: str,
        usable: Collection[str],
        now_s: float,
        extra: float = 0.0,
        fraction: float = 1.0,
    ) -> bool:
        """Return whether one more request may run in a region.

        One that makes the windows more alike always may. What ran in regions that can't be used now
        changes its region at once, since a gradual change has no benefit then.

        Args:
            extra: What may change in addition to the largest share.
            fraction: Part of that which this request may use up.
        """
        self._advance(now_s)
        before_count, count = sum(self.before.values()), sum(self.current.values()) + 1
        if before_count < MIN_WINDOW_REQUESTS:
            return True
        own = (self.current.get(region, 0) + 1) / count - self.before.get(region, 0) / before_count
        if own <= 0:
            return True
        added = dict(self.current)
        added[region] = added.get(region, 0) + 1
        moved = sum(
            max(0.0, added.get(name, 0) / count - self.before.get(name, 0) / before_count)
            for name in added
        )
        lost = sum(ran for name, ran in self.before.items() if name not in usable) / before_count
        return moved <= max(fraction * (self.max_shift + extra), 1 / count) + lost

    def reset(self) -> None:
        """Forget what ran, so that requests need not keep to the regions of before."""
        self.buckets.clear()
        self.current, self.before, self.bucket_number = {}, {}, None

    def _advance(self, now_s: float) -> None:
        number = int(now_s // BUCKET_S)
        if self.bucket_number == number:
            return
        missing = 2 * BUCKETS_PER_WINDOW
        if self.bucket_number is not None:
            missing = min(missing, max(0, number - self.bucket_number))
        self.bucket_number = number
        self.buckets.extend({} for _ in range(missing))
        while len(self.buckets) > 2 * BUCKETS_PER_WINDOW:
            self.buckets.popleft()
        halves = list(self.buckets)
        self.before = _sum_buckets(halves[:BUCKETS_PER_WINDOW])
        self.current = _sum_buckets(halves[BUCKETS_PER_WINDOW:])


def _sum_buckets(buckets: list[dict[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for bucket in buckets:
        for region, count in bucket.items():
            total[region] = max(0, total.get(region, 0) + count)
    return total
