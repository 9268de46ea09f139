"""Counts that VMs exchange to plan which region serves which requests."""

from collections.abc import Collection, Mapping
from math import isfinite
from typing import Any, Self

from attrs import evolve, field, fields, frozen

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
        work_ms: Time that requests took without waiting, by the region in which they ran.
        answers: Number of requests in these sums.
        vms: Number of VMs in the sums by their region.
    """

    demand_per_s: dict[str, dict[str, float]] = field(factory=dict)
    away_per_s: dict[str, dict[str, dict[str, float]]] = field(factory=dict)
    pinned_per_s: dict[str, dict[str, float]] = field(factory=dict)
    work_ms: dict[str, dict[str, float]] = field(factory=dict)
    answers: dict[str, dict[str, float]] = field(factory=dict)
    vms: dict[str, int] = field(factory=dict)

    def merge(self, other: Self) -> Self:
        """Return the sum of both counts, either of which may be malformed."""
        names = [attribute.name for attribute in fields(RegionCounts)]
        return RegionCounts(
            **{
                name: add_nested(add_nested({}, getattr(self, name)), getattr(other, name))
                for name in names
            }
        )

    def within(self, regions: Collection[str]) -> Self:
        """Return the counts without malformed ones and those of unknown regions."""
        counts = self.merge(RegionCounts())
        return RegionCounts(
            _of_regions(counts.demand_per_s, regions),
            {
                service: _of_regions(_known(away, regions), regions)
                for service, away in counts.away_per_s.items()
            },
            _of_regions(counts.pinned_per_s, regions),
            _of_regions(counts.work_ms, regions),
            _of_regions(counts.answers, regions),
            _known(counts.vms, regions),
        )

    def scaled(self, factor_by_region: Mapping[str, float]) -> Self:
        """Return the counts with what arrived in each region multiplied by a factor.

        The requests outside the plan are known only by the region in which they ran.
        """

        def scale(counts: Mapping[str, float]) -> dict[str, float]:
            return {region: n * factor_by_region.get(region, 1.0) for region, n in counts.items()}

        return evolve(
            self,
            demand_per_s={service: scale(of) for service, of in self.demand_per_s.items()},
            away_per_s={
                service: {
                    home: {to: n * factor_by_region.get(home, 1.0) for to, n in away.items()}
                    for home, away in by_home.items()
                }
                for service, by_home in self.away_per_s.items()
            },
            pinned_per_s={service: scale(of) for service, of in self.pinned_per_s.items()},
        )


@frozen
class RegionCountsFact:
    """Counts that one VM publishes: its own, and those of other VMs if it represents its cell."""

    own: RegionCounts
    cell: RegionCounts | None = None
    rest: RegionCounts | None = None


register_fact(REGION_COUNTS_KIND, RegionCountsFact)


def add_nested(some: Mapping[str, Any], others: Mapping[str, Any]) -> dict[str, Any]:
    """Add nested mappings of counts by key; a count outside its range is malformed and limited.

    A number that is not finite is dropped.
    """
    total = dict(some)
    for key, value in others.items():
        if isinstance(value, Mapping):
            total[key] = add_nested(total.get(key, {}), value)
        elif isfinite(value):
            # Sums of rounded numbers would have up to 17 digits on the wire.
            total[key] = round(total.get(key, 0) + min(MAX_COUNT, max(0, value)), 1)
    return total


def _known(by_region: Mapping[str, Any], regions: Collection[str]) -> dict[str, Any]:
    return {region: value for region, value in by_region.items() if region in regions}


def _of_regions(
    by_service: Mapping[str, Mapping[str, Any]], regions: Collection[str]
) -> dict[str, dict[str, Any]]:
    """Return the counts of known regions, and the services that have any."""
    known = {service: _known(counts, regions) for service, counts in by_service.items()}
    return {service: counts for service, counts in known.items() if counts}
