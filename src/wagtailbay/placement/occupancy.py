"""Exchange the number of requests in flight at each target with the other VMs."""

import random
from collections.abc import Callable, Mapping
from typing import Self

import trio
from attrs import define, field, frozen

from wagtailbay.membership import FactTable, FleetAggregator, FleetLayout
from wagtailbay.membership.aggregate import add_counts
from wagtailbay.membership.codec import register_fact
from wagtailbay.placement.const import (
    OCCUPANCY_INTERVAL_S,
    OCCUPANCY_KIND,
    OCCUPANCY_MIN_VMS,
    OCCUPANCY_TTL_MS,
)
from wagtailbay.placement.selector import TargetSelector


@frozen
class Occupancy:
    """Number of requests in flight by target."""

    in_flight: dict[str, int]

    def merge(self, other: Self) -> Self:
        """Return the sum of both counts for each target."""
        return Occupancy(add_counts(self.in_flight, other.in_flight))


@frozen
class OccupancyFact:
    """Counts that one VM publishes: its own, and those of other VMs if it represents its cell."""

    own: Occupancy
    cell: Occupancy | None = None
    rest: Occupancy | None = None


register_fact(OCCUPANCY_KIND, OccupancyFact)


@define
class OccupancyTracker:
    """Keep the selector informed of the requests that other VMs have in flight at the targets.

    A target reports its load with each answer, but with 25 VMs in a region each VM gets an answer
    of a given target only now and then. Between two answers, the counts that the VMs exchange
    are used.

    Attributes:
        region_vms: Returns the number of VMs in this region, which send to the same targets.
    """

    selector: TargetSelector
    region_vms: Callable[[], int]
    facts: FactTable
    layout: Callable[[], FleetLayout]
    clock: Callable[[], float]
    random: random.Random
    aggregator: FleetAggregator = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the aggregation of the counts over the fleet."""
        self.aggregator = FleetAggregator(
            OCCUPANCY_KIND, OccupancyFact, self.facts, self.layout, OCCUPANCY_TTL_MS
        )

    async def run(self) -> None:
        """Exchange counts periodically, with jitter, until cancelled."""
        while True:
            self.exchange(self.clock())
            await trio.sleep(OCCUPANCY_INTERVAL_S * self.random.uniform(0.9, 1.1))

    def exchange(self, now_s: float) -> None:
        """Publish this VM's counts and update the selector with those of the other VMs.

        With few VMs in the region, the selector uses the load reports of the targets alone.
        """
        senders = self.region_vms()
        if senders < OCCUPANCY_MIN_VMS:
            self._clear_peer_in_flight()
            return
        own = Occupancy(self._in_flight())
        total = self.aggregator.publish_and_merge("all", own, now_s)
        others = {
            target: max(0, count - own.in_flight.get(target, 0))
            for target, count in total.in_flight.items()
        }
        self._update_peer_in_flight(others, senders)

    def _in_flight(self) -> dict[str, int]:
        """Return the number of requests that this VM has in flight at each target."""
        counts: dict[str, int] = {}
        for (name, _), target_load in self.selector.loads.items():
            if target_load.own_in_flight:
                counts[name] = counts.get(name, 0) + target_load.own_in_flight
        return counts

    def _update_peer_in_flight(self, in_flight: Mapping[str, int], senders: int) -> None:
        """Store the number of requests that the other VMs have in flight at each target."""
        for target in self.selector.registry.targets.values():
            peer_in_flight = in_flight.get(target.entry.target, 0)
            self.selector.load_of(target).record_peer_in_flight(
                peer_in_flight, self.selector.random.random(), senders
            )

    def _clear_peer_in_flight(self) -> None:
        """Discard the counts of the other VMs, so that only load reports of targets are used."""
        for target_load in self.selector.loads.values():
            target_load.peer_in_flight = None
