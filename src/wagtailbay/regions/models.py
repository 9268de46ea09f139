"""Counts that VMs exchange to plan which region serves which requests."""

from collections.abc import Mapping
from typing import Any, Self

from attrs import field, frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.regions.const import MAX_COUNT, REGION_COUNTS_KIND


@frozen
class RegionCounts:
    """Traffic of one VM or of several; the outer key of all but the last is the service.

    Attributes:
        demand_per_s: Requests/s that arrived, by the region of the VM that received them, without
            retries and requests that are restricted to certain regions.
        away_per_s: Requests/s of these that were sent to another region, by both regions.
        pinned_per_s: Other requests/s, by the region to which they were sent.
        work_s: Time that requests took without waiting, by the region in which they ran.
        answers: Number of requests in these sums.
        vms: Number of VMs in the sums by their region.
    """

    demand_per_s: dict[str, dict[str, float]] = field(factory=dict)
    away_per_s: dict[str, dict[str, dict[str, float]]] = field(factory=dict)
    pinned_per_s: dict[str, dict[str, float]] = field(factory=dict)
    work_s: dict[str, dict[str, float]] = field(factory=dict)
    answers: dict[str, dict[str, float]] = field(factory=dict)
    vms: dict[str, int] = field(factory=dict)

    def merge(self, other: Self) -> Self:
        """Return the sum of both counts."""
        return RegionCounts(
            add_nested(self.demand_per_s, other.demand_per_s),
            add_nested(self.away_per_s, other.away_per_s),
            add_nested(self.pinned_per_s, other.pinned_per_s),
            add_nested(self.work_s, other.work_s),
            add_nested(self.answers, other.answers),
            add_nested(self.vms, other.vms),
        )


@frozen
class RegionCountsFact:
    """Counts that one VM publishes: its own, and those of other VMs if it represents its cell."""

    own: RegionCounts
    cell: RegionCounts | None = None
    rest: RegionCounts | None = None


register_fact(REGION_COUNTS_KIND, RegionCountsFact)


def add_nested(some: Mapping[str, Any], others: Mapping[str, Any]) -> dict[str, Any]:
    """Add nested mappings of counts by key; a count outside its range is malformed and limited."""
    total = dict(some)
    for key, value in others.items():
        if isinstance(value, Mapping):
            total[key] = add_nested(total.get(key, {}), value)
        else:
            # Sums of rounded numbers would have up to 17 digits on the wire.
            total[key] = round(total.get(key, 0) + min(MAX_COUNT, max(0, value)), 1)
    return total
