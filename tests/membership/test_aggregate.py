"""Tests for the aggregation of values over a divided fleet."""

from typing import Self

import pytest
from attrs import frozen

from wagtailbay.membership import FactTable, FleetAggregator, FleetLayout, build_layout

INTERVAL_S = 0.5


@frozen
class Count:
    """A mergeable number."""

    number: int

    def merge(self, other: Self) -> Self:
        """Return the sum."""
        return Count(self.number + other.number)


@frozen
class CountFact:
    """The counts that one VM publishes."""

    own: Count
    cell: Count | None = None
    rest: Count | None = None


class Fleet:
    """Simulate the aggregators of many VMs, with facts exchanged between neighbours."""

    def __init__(self, vms: int, zones: int) -> None:
        self.zones = {f"vm-{number}": f"z{number % zones}" for number in range(vms)}
        self.live = set(self.zones)
        self.now_s = 0.0
        self.aggregators = {
            vm: FleetAggregator("count", CountFact, FactTable(vm, 1), self.layout, 3_000)
            for vm in self.zones
        }
        self.numbers = dict.fromkeys(self.zones, 1)

    def layout(self) -> FleetLayout:
        """Return the division of the fleet for the live VMs."""
        return build_layout(self.zones, self.live)

    def run_rounds(self, rounds: int = 1) -> None:
        """Let every live VM publish its count and exchange facts with its neighbours."""
        for _ in range(rounds):
            self.now_s += INTERVAL_S
            for vm in sorted(self.live):
                self.aggregators[vm].publish_and_merge("all", Count(self.numbers[vm]), self.now_s)
            layout = self.layout()
            for vm in sorted(self.live):
                for other in layout.neighbours(vm) & self.live:
                    for source, sink in ((vm, other), (other, vm)):
                        batch = self.aggregators[source].facts.batch_after(0, self.now_s)
                        self.aggregators[sink].facts.merge(batch.facts)

    def fleet_totals(self) -> set[int]:
        """Return the distinct fleet totals that the live VMs compute."""
        totals = set()
        for vm in self.live:
            totals.add(
                self.aggregators[vm]
                .publish_and_merge("all", Count(self.numbers[vm]), self.now_s)
                .number
            )
        return totals


class TestFleetAggregator:
    """Every VM computes the total of the fleet from few facts."""

    @pytest.mark.parametrize(("vms", "zones"), [(1, 1), (11, 6), (75, 6), (68, 9)])
    def test_each_vm_is_counted_once(self, vms: int, zones: int) -> None:
        """Guards against values that are counted twice or do not get beyond the neighbours."""
        fleet = Fleet(vms, zones)
        fleet.run_rounds(4)
        assert fleet.fleet_totals() == {vms}

    def test_change_reaches_all_totals_after_three_rounds(self) -> None:
        """Guards against rate shares that are computed from outdated demand."""
        fleet = Fleet(75, 6)
        fleet.run_rounds(4)
        fleet.numbers["vm-8"] = 1_001
        fleet.run_rounds(3)
        assert fleet.fleet_totals() == {1_075}

    def test_totals_recover_after_loss_of_delegates_and_zone(self) -> None:
        """Guards against a cell that is missing from all totals because one VM is lost."""
        fleet = Fleet(75, 6)
        fleet.run_rounds(4)
        layout = fleet.layout()
        fleet.live -= {names[0] for names in layout.delegates.values()}
        fleet.run_rounds(10)
        assert fleet.fleet_totals() == {69}
        fleet.live -= {vm for vm, zone in fleet.zones.items() if zone == "z2"}
        fleet.run_rounds(10)
        assert fleet.fleet_totals() == {len(fleet.live)}

    def test_facts_per_vm_do_not_grow_with_fleet(self) -> None:
        """Guards against a fact table that holds the facts of all VMs, for example of 520."""
        fleet = Fleet(300, 6)
        fleet.run_rounds(2)
        assert max(len(aggregator.facts.facts) for aggregator in fleet.aggregators.values()) <= 60
