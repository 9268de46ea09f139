"""Plan which share of each region's demand runs in which region."""

from collections.abc import Mapping
from math import inf

from attrs import frozen

from wagtailbay.regions.const import (
    KEPT_UTILIZATION,
    MIN_SHARE_CHANGE,
    MIN_WORK_S,
    START_GAP,
    START_MARGIN,
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
            to send requests away only if it is used twice as much as another one.
    """
    capacity = {region: room.capacity_per_s for region, room in rooms.items()}
    total_capacity = sum(capacity.values())
    if total_capacity <= 0:
        return {}
    demand = {region: demand_per_s.get(region, 0.0) for region in capacity.keys() | demand_per_s}
    level = max(KEPT_UTILIZATION, sum(demand.values()) / total_capacity)
    used = {region: _utilization(demand[region], capacity.get(region, 0.0)) for region in demand}
    lowest = min(used[region] for region in capacity if capacity[region] > 0)
    min_gap = max(START_GAP, lowest) if is_early else START_GAP
    start_from = max(KEPT_UTILIZATION + START_MARGIN, lowest + min_gap)
    excess = {
        region: demand[region] - level * capacity.get(region, 0.0)
        for region in sorted(demand)
        if used[region] > level and (previous.get(region) or used[region] > start_from)
    }
    received = _fill(sum(excess.values()), demand, capacity)
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
