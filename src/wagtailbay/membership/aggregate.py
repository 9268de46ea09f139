"""Aggregate the values that all VMs publish, in a fleet that is not a full mesh."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Protocol, Self, TypeVar

from attrs import define

from wagtailbay.membership.facts import FactTable
from wagtailbay.membership.layout import FleetLayout

T = TypeVar("T", int, float)


class Mergeable(Protocol):
    """A value that merges with others commutatively and associatively."""

    def merge(self, other: Self) -> Self:
        """Return the combination of both values."""


class AggregateFact(Protocol):
    """The published value of one VM, with aggregates if the VM is a delegate of its cell.

    Attributes:
        own: Value of the VM itself.
        cell: Aggregate of all VMs of its cell; None unless the VM is a delegate.
        rest: Aggregate of all VMs outside its cell; None unless the VM is a delegate.
    """

    own: Any
    cell: Any
    rest: Any


@define
class FleetAggregator:
    """Publishes this VM's values of one kind and computes their totals over the fleet.

    A delegate publishes the total of its cell, for the delegates of other cells, and the total of
    all other cells, for the VMs of its own cell. The size of what one VM publishes therefore does
    not grow with the fleet.

    Attributes:
        make_fact: Builds a fact of the kind from own, cell and rest.
        layout: Returns the current division of the fleet into cells.
    """

    kind: str
    make_fact: Callable[[Any, Any, Any], AggregateFact]
    facts: FactTable
    layout: Callable[[], FleetLayout]
    ttl_ms: int

    def publish_and_merge(
        self, key: str, own: Mergeable, now_s: float, *, urgent: bool = False
    ) -> Any:
        """Publish this VM's value and return the total over the fleet.

        In a divided fleet, a VM that is not a delegate returns the newest total from a delegate of
        its cell, which includes this VM's value as of that time.

        Args:
            own: This VM's value, which is also the total until values of other VMs arrive.
        """
        layout = self.layout()
        cell = rest = None
        if layout.is_delegate(self.facts.vm):
            cell = _merge_all([own, *self._cell_peer_values(key, now_s)])
            rest = _merge_all(self._other_cell_totals(key, now_s))
            total = _merge_all([cell, rest])
        elif layout.is_divided:
            delegate_total = self._fleet_total_from_delegates(key, now_s)
            total = own if delegate_total is None else delegate_total
        else:
            published = self._published_facts(key, now_s)
            total = _merge_all([own, *(value.own for _, _, value in published)])
        value = self.make_fact(own, cell, rest)
        self.facts.publish(self.kind, key, value, ttl_ms=self.ttl_ms, now_s=now_s, urgent=urgent)
        return total

    def _published_facts(
        self, key: str, now_s: float
    ) -> Iterator[tuple[str, float, AggregateFact]]:
        for fact in self.facts.of_kind(self.kind, now_s):
            if fact.vm != self.facts.vm and fact.key == key:
                yield fact.vm, fact.expires_s, fact.value

    def _cell_peer_values(self, key: str, now_s: float) -> list[Any]:
        """Return the values of the other VMs in this VM's cell."""
        cell_peers = self.layout().cell_peers(self.facts.vm)
        return [value.own for vm, _, value in self._published_facts(key, now_s) if vm in cell_peers]

    def _other_cell_totals(self, key: str, now_s: float) -> list[Any]:
        """Return the newest total of each other cell."""
        layout = self.layout()
        own_cell = layout.cell_by_vm.get(self.facts.vm)
        newest: dict[str, tuple[float, Any]] = {}
        for vm, expires_s, value in self._published_facts(key, now_s):
            cell = layout.cell_by_vm.get(vm)
            if cell is None or cell == own_cell or value.cell is None:
                continue
            if cell not in newest or newest[cell][0] < expires_s:
                newest[cell] = expires_s, value.cell
        return [value for _, value in newest.values()]

    def _fleet_total_from_delegates(self, key: str, now_s: float) -> Any:
        """Return the newest fleet total published by a delegate of this VM's cell, or None."""
        cell_peers = self.layout().cell_peers(self.facts.vm)
        totals = [
            (expires_s, vm, value)
            for vm, expires_s, value in self._published_facts(key, now_s)
            if vm in cell_peers and value.cell is not None
        ]
        if not totals:
            return None
        newest = max(totals, key=lambda item: item[:2])[2]
        return _merge_all([newest.cell, newest.rest])


def add_counts(some: Mapping[str, T], others: Mapping[str, T]) -> dict[str, T]:
    """Add two mappings by key; negative counts in others are malformed and count as 0."""
    total = dict(some)
    for key, count in others.items():
        total[key] = total.get(key, 0) + max(0, count)
    return total


def _merge_all(values: Iterable[Any]) -> Any:
    """Merge all values that are not None; return None if there are none."""
    total = None
    for value in values:
        if value is not None:
            total = value if total is None else total.merge(value)
    return total
