"""Place requests in the regions that a plan for uneven regions gives them."""

from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from attrs import define

from wagtailbay.placement.models import LoadReport, Placement, PlacementQuery
from wagtailbay.registry import RegisteredTarget, TargetRegistry

TargetsByRegion = Mapping[str, list[RegisteredTarget]]


class RegionPlan(Protocol):
    """Decides in which region requests run, and is told where they did."""

    def assign(
        self, service: str, has_local: bool, now_s: float, affinity: str | None = None
    ) -> str | None:
        """Return the region in which the next request runs; None if no plan is in force.

        Args:
            affinity: Affinity key of the object, whose requests should all run in one region.
        """

    def away_share(self, service: str) -> float:
        """Return the share of requests that runs in other regions."""

    def alternatives(self, service: str, planned: str) -> list[str]:
        """Return the regions for a request that finds no capacity in the planned one."""

    def allows(
        self, region: str, usable: Collection[str], now_s: float, *, is_optional: bool = False
    ) -> bool:
        """Return whether a request may run in a region without too many changing theirs.

        Args:
            usable: The regions that have targets.
            is_optional: Whether the request has a target in another region that it may use.
        """

    def is_sender(self, service: str, region: str, now_s: float) -> bool:
        """Return whether the plan relieves a region, so that it gets no requests of others."""

    def record_demand(self, service: str, latency_goal_ms: float, now_s: float) -> None:
        """Count a request that the plan may send to any region."""

    def record_first_attempt(
        self, service: str, region: str, now_s: float, *, is_restricted: bool
    ) -> None:
        """Count a request in the region in which it runs."""

    def record_retry(self, before: str, region: str, now_s: float) -> None:
        """Count a request in the region of its second attempt instead of that of the first."""

    def record_answer(
        self, service: str, region: str, latency_ms: float, report: LoadReport | None
    ) -> None:
        """Record how long an answered request took."""


@define
class NoRegionPlan:
    """A plan that is never in force."""

    def assign(
        self, service: str, has_local: bool, now_s: float, affinity: str | None = None
    ) -> str | None:
        """Return None."""
        return None

    def away_share(self, service: str) -> float:
        """Return 0."""
        return 0.0

    def alternatives(self, service: str, planned: str) -> list[str]:
        """Return no region."""
        return []

    def allows(
        self, region: str, usable: Collection[str], now_s: float, *, is_optional: bool = False
    ) -> bool:
        """Return True."""
        return True

    def is_sender(self, service: str, region: str, now_s: float) -> bool:
        """Return False."""
        return False

    def record_demand(self, service: str, latency_goal_ms: float, now_s: float) -> None:
        """Do nothing."""

    def record_first_attempt(
        self, service: str, region: str, now_s: float, *, is_restricted: bool
    ) -> None:
        """Do nothing."""

    def record_retry(self, before: str, region: str, now_s: float) -> None:
        """Do nothing."""

    def record_answer(
        self, service: str, region: str, latency_ms: float, report: LoadReport | None
    ) -> None:
        """Do nothing."""


def place_by_plan(
    plan: RegionPlan,
    planned: str,
    query: PlacementQuery,
    targets_by_region: TargetsByRegion,
    place: Callable[[list[RegisteredTarget]], Placement | None],
    is_doubtful: Callable[[Placement], bool],
    now_s: float,
) -> list[Placement]:
    """Return targets in the planned region and, if these don't serve the request well, in others.

    What is executed must change as gradually as what is planned.

    Args:
        planned: Region that the plan gives to the request.
        place: Returns one of the given targets that has capacity.
        is_doubtful: Returns whether a request may be served faster in another region.

    Returns:
        One target for each region that was tried and has capacity. Only the last one is not
        doubtful.
    """
    placements: list[Placement] = []
    regions = [planned, *plan.alternatives(query.service, planned)]
    if not any(targets_by_region.get(region) for region in regions):
        regions = sorted(targets_by_region)
    for region in regions:
        targets = targets_by_region.get(region)
        is_optional = bool(placements)
        if not targets or (is_optional and plan.is_sender(query.service, region, now_s)):
            continue
        if not plan.allows(region, targets_by_region, now_s, is_optional=is_optional):
            continue
        placed = place(targets)
        if placed is not None:
            placements.append(placed)
            if not is_doubtful(placed):
                break
    return placements


def group_by_region(
    targets: list[RegisteredTarget], regions: Mapping[str, str]
) -> dict[str, list[RegisteredTarget]]:
    """Return the targets by their region, given the region of each availability zone."""
    by_region: dict[str, list[RegisteredTarget]] = {}
    for target in targets:
        by_region.setdefault(regions.get(target.entry.availability_zone, ""), []).append(target)
    return by_region


def remote_targets(
    plan: RegionPlan, service: str, home: str, targets_by_region: TargetsByRegion, now_s: float
) -> list[RegisteredTarget]:
    """Return the targets of other regions.

    Those of regions that the plan relieves are left out unless the own region has no target.
    """
    return [
        target
        for region, targets in targets_by_region.items()
        if region != home
        and (home not in targets_by_region or not plan.is_sender(service, region, now_s))
        for target in targets
    ]


def record_placed(
    plan: RegionPlan,
    query: PlacementQuery,
    placement: Placement,
    registry: TargetRegistry,
    regions: Mapping[str, str],
    now_s: float,
) -> None:
    """Tell the plan where a request runs, whether or not the plan has decided it."""
    if not query.excluded:
        is_restricted = bool(query.allowed_regions)
        plan.record_first_attempt(
            query.service, placement.region, now_s, is_restricted=is_restricted
        )
        return
    # Third attempts are rare, and of these it is not known which target was the last.
    first = registry.targets.get(next(iter(query.excluded)))
    if len(query.excluded) == 1 and first is not None and not query.allowed_regions:
        before = regions.get(first.entry.availability_zone, "")
        plan.record_retry(before, placement.region, now_s)
