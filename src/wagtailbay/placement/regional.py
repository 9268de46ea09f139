"""Place requests in the regions that a plan for uneven regions gives them."""

from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from attrs import define, evolve

from wagtailbay.placement.const import BUSY_UTILIZATION
from wagtailbay.placement.load import TargetLoad, mean_utilization
from wagtailbay.placement.models import (
    LoadReport,
    Placement,
    PlacementQuery,
    PlacementReason,
    SelectionTurn,
)
from wagtailbay.registry import RegisteredTarget, TargetRegistry

TargetsByRegion = Mapping[str, list[RegisteredTarget]]
LoadOf = Callable[[RegisteredTarget], TargetLoad]


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
        self,
        service: str,
        region: str,
        usable: Collection[str],
        now_s: float,
        *,
        is_optional: bool = False,
        is_last: bool = False,
    ) -> bool:
        """Return whether a request may run in a region without too many changing theirs.

        Args:
            usable: The regions that have targets on which requests can run now.
            is_optional: Whether the request has a target in another region that it may use.
            is_last: Whether the request is refused otherwise, so that the wider limit applies.
        """

    def is_sender(self, service: str, region: str, now_s: float) -> bool:
        """Return whether the plan relieves a region, so that it gets no requests of others."""

    def record_demand(self, service: str, latency_goal_ms: float, now_s: float) -> None:
        """Count a request that the plan may send to any region."""

    def record_first_attempt(
        self, service: str, region: str, now_s: float, *, is_restricted: bool
    ) -> None:
        """Count a request in the region in which it runs."""

    def record_retry(self, service: str, before: str, region: str, now_s: float) -> None:
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
        self,
        service: str,
        region: str,
        usable: Collection[str],
        now_s: float,
        *,
        is_optional: bool = False,
        is_last: bool = False,
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

    def record_retry(self, service: str, before: str, region: str, now_s: float) -> None:
        """Do nothing."""

    def record_answer(
        self, service: str, region: str, latency_ms: float, report: LoadReport | None
    ) -> None:
        """Do nothing."""


def record_demand(plan: RegionPlan, query: PlacementQuery, now_s: float) -> None:
    """Count a request that the plan may send to any region, once however often it selects."""
    if not query.allowed_regions and not query.excluded and query.turn is not SelectionTurn.AGAIN:
        plan.record_demand(query.service, query.latency_goal_ms, now_s)


def planned_region(
    plan: RegionPlan, query: PlacementQuery, has_local: bool, now_s: float
) -> str | None:
    """Return the region in which a request runs; None if no plan concerns it."""
    if query.allowed_regions or query.excluded:
        return None
    return plan.assign(query.service, has_local, now_s, query.affinity)


def place_by_plan(
    plan: RegionPlan,
    planned: str,
    home: str,
    query: PlacementQuery,
    targets_by_region: TargetsByRegion,
    load_of: LoadOf,
    place: Callable[[list[RegisteredTarget]], Placement | None],
    is_doubtful: Callable[[Placement], bool],
    now_s: float,
) -> list[Placement]:
    """Return targets in the planned region and, if these don't serve the request well, in others.

    What is executed must change as gradually as what is planned, but no request is refused for
    that while the own region is free or can't run requests at all. Otherwise the planned and the
    own region are used up to the wider limit: without any limit, 0.144 of a region's requests
    changed their region in waves.

    Args:
        planned: Region that the plan gives to the request.
        home: Region of this VM, for whose targets a request that is BEHIND does not ask.
        place: Returns one of the given targets that has capacity.
        is_doubtful: Returns whether a request may be served faster in another region.

    Returns:
        One target for each region that was tried and has capacity. Only the last one is not
        doubtful.
    """
    regions = _regions_to_try(plan, planned, home, query, targets_by_region)
    usable = usable_regions(targets_by_region, load_of, now_s)
    placements: list[Placement] = []
    denied = []
    for region in regions:
        is_optional = bool(placements)
        if is_optional and plan.is_sender(query.service, region, now_s):
            continue
        if not plan.allows(query.service, region, usable, now_s, is_optional=is_optional):
            denied.append(region)
        elif (placed := place(targets_by_region[region])) is not None:
            placements.append(_marked(placed, home))
            if not is_doubtful(placed):
                break
    if placements:
        return placements
    for region in denied:
        is_last_resort = region in (planned, home)
        if is_last_resort and (
            _is_unlimited(region, home, usable, targets_by_region, load_of, now_s)
            or plan.allows(query.service, region, usable, now_s, is_last=True)
        ):
            placed = place(targets_by_region[region])
            if placed is not None:
                return [_marked(placed, home)]
    return []


def _regions_to_try(
    plan: RegionPlan,
    planned: str,
    home: str,
    query: PlacementQuery,
    targets_by_region: TargetsByRegion,
) -> list[str]:
    """Return the regions that have targets, the planned one first."""
    regions = [planned, *plan.alternatives(query.service, planned)]
    if not any(targets_by_region.get(region) for region in regions):
        regions = sorted(targets_by_region)
    regions = [region for region in regions if targets_by_region.get(region)]
    if query.turn is not SelectionTurn.BEHIND:
        return regions
    if planned == home or home not in targets_by_region:
        return []
    return [region for region in regions if region != home]


def _is_unlimited(
    region: str,
    home: str,
    usable: Collection[str],
    targets_by_region: TargetsByRegion,
    load_of: LoadOf,
    now_s: float,
) -> bool:
    """Return whether the own region is free or can't be used, so that a limit only refuses."""
    if home not in usable:
        return True
    return (
        region == home
        and mean_utilization(targets_by_region[region], load_of, now_s) < BUSY_UTILIZATION
    )


def usable_regions(
    targets_by_region: TargetsByRegion,
    load_of: LoadOf,
    now_s: float,
) -> set[str]:
    """Return the regions with a target that is warm, not ejected and not shedding."""

    def is_usable(target: RegisteredTarget) -> bool:
        load = load_of(target)
        return not (target.is_cold(now_s) or load.is_shedding(now_s) or load.is_ejected(now_s))

    return {region for region, targets in targets_by_region.items() if any(map(is_usable, targets))}


def _marked(placed: Placement, home: str) -> Placement:
    """Return a placement with its reason if it is in another region."""
    return placed if placed.region == home else evolve(placed, reason=PlacementReason.SPILLED)


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
        plan.record_retry(query.service, before, placement.region, now_s)
