"""Plan which share of each region's demand runs in which region."""

from collections.abc import Mapping
from math import inf

from attrs import frozen

from wagtailbay.regions.const import (
    EARLY_START_RATIO,
    KEPT_UTILIZATION,
    MAX_FREE_UTILIZATION,
    MIN_SHARE_CHANGE,
    MIN_WORK_S,
    START_MARGIN,
    START_RATIO,
)

Shares = Mapping[str, float]
RegionShares = Mapping[str, Shares]


@frozen
class RegionRoom:
    """Capacity of one region for a service.

    Attributes:
        slots: Requests that its warm targets run concurrently.
        work_s: Mean time that a request occupies a slot.
        pinned_per_s: Requests/s that run there whatever the plan says.
    """

    slots: int
    work_s: float
    pinned_per_s: float = 0.0

    @property
    def capacity_per_s(self) -> float:
        """Return the requests/s that the region can run in addition to the pinned ones."""
        return max(0.0, self.slots / max(MIN_WORK_S, self.work_s) - self.pinned_per_s)


def plan_shares(
    demand_per_s: Mapping[str, float],
    rooms: Mapping[str, RegionRoom],
    previous: RegionShares,
    *,
    is_early: bool = False,
) -> dict[str, dict[str, float]]:
    """Return for each region the shares of its demand that other regions serve.

    A region that is used beyond KEPT_UTILIZATION sends its excess to the regions with the lowest
    utilization. If the whole fleet is used beyond that, all regions get the same utilization.

    Args:
        demand_per_s: Requests/s that arrive in each region.
        rooms: Capacity of each region that may serve requests of others.
        previous: The plan in force, for hysteresis.
        is_early: Whether the counts are those of the first second of traffic. A region then begins
            to send requests away only if it is used far more than another one.
    """
    capacity = {region: room.capacity_per_s for region, room in rooms.items()}
    total_capacity = sum(capacity.values())
    if total_capacity <= 0:
        return {}
    demand = {region: demand_per_s.get(region, 0.0) for region in capacity.keys() | demand_per_s}
    level = max(KEPT_UTILIZATION, sum(demand.values()) / total_capacity)
    used = {region: _utilization(demand[region], capacity.get(region, 0.0)) for region in demand}
    lowest = min(used[region] for region in capacity if capacity[region] > 0)
    ratio = EARLY_START_RATIO if is_early else START_RATIO
    start_from = max(KEPT_UTILIZATION + START_MARGIN, ratio * lowest)
    if lowest > MAX_FREE_UTILIZATION:
        start_from = inf
    excess = {
        region: demand[region] - level * capacity.get(region, 0.0)
        for region in sorted(demand)
        if used[region] > level and (previous.get(region) or used[region] > start_from)
    }
    received = _receive(excess, demand, capacity, previous)
    total = sum(received.values())
    planned = {}
    for region, excess_per_s in excess.items():
        share = excess_per_s / demand[region]
        shares = {to: share * part / total for to, part in received.items()} if total else {}
        old = previous.get(region, {})
        planned[region] = dict(old) if shift(old, shares) < MIN_SHARE_CHANGE else shares
    return {region: shares for region, shares in planned.items() if shares}


def shift(some: Shares, others: Shares) -> float:
    """Return which share of requests runs in another region under the second shares."""
    changes = [others.get(to, 0.0) - some.get(to, 0.0) for to in some.keys() | others.keys()]
    return (sum(abs(change) for change in changes) + abs(sum(changes))) / 2


def _utilization(demand_per_s: float, capacity_per_s: float) -> float:
    if capacity_per_s <= 0:
        return inf if demand_per_s > 0 else 0.0
    return demand_per_s / capacity_per_s


def _receive(
    excess: Mapping[str, float],
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
    previous: RegionShares,
) -> dict[str, float]:
    """Divide the excess of all regions among those with free capacity.

    Regions that receive requests already keep what they can, since a change of region between two
    receivers would use up the change that demand requires.
    """
    total = sum(excess.values())
    if total <= 0:
        return {}
    free = {region: capacity[region] for region in capacity if region not in excess}
    filled = _fill(total, demand, free)
    levels = [(demand[to] + part) / capacity[to] for to, part in filled.items()]
    ceiling = max([KEPT_UTILIZATION, *levels])
    kept: dict[str, float] = {}
    for region, excess_per_s in excess.items():
        shares = previous.get(region, {})
        scale = min(demand[region], excess_per_s / max(sum(shares.values()), 1e-9))
        for to in shares.keys() & free.keys():
            kept[to] = kept.get(to, 0.0) + scale * shares[to]
    for to, part in kept.items():
        kept[to] = min(part, max(0.0, ceiling * free[to] - demand[to]))
    used = {to: demand[to] + kept.get(to, 0.0) for to in free}
    rest = _fill(total - sum(kept.values()), used, free)
    return {to: kept.get(to, 0.0) + rest.get(to, 0.0) for to in kept.keys() | rest.keys()}


def _fill(
    excess_per_s: float, demand: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Divide the excess among the regions with the lowest utilization, evening that out."""
    if excess_per_s <= 0:
        return {}
    ordered = sorted(
        (region for region in capacity if capacity[region] > 0),
        key=lambda region: (demand[region] / capacity[region], region),
    )
    filled: list[str] = []
    level = 0.0
    for region in ordered:
        if filled and demand[region] / capacity[region] >= level:
            break
        filled.append(region)
        level = (excess_per_s + sum(demand[to] for to in filled)) / sum(
            capacity[to] for to in filled
        )
    return {to: level * capacity[to] - demand[to] for to in filled}
