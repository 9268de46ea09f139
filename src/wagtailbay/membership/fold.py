"""Add up what every VM publishes, over a fleet whose VMs do not all hear each other."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Protocol, Self, TypeVar

from attrs import define

from wagtailbay.membership.facts import FactTable
from wagtailbay.membership.layout import FleetLayout

T = TypeVar("T", int, float)


class Mergeable(Protocol):
    """Be a value of which two make one, in any order."""

    def merge(self, other: Self) -> Self:
        """Return what both say together."""


class AggregateFact(Protocol):
    """Hold what one VM publishes of itself and, if it speaks for its cell, of others.

    Attributes:
        own: Of the VM itself.
        cell: Of all VMs of its cell, None unless it speaks for them.
        rest: Of all VMs outside its cell, None unless it speaks for the cell.
    """

    own: Any
    cell: Any
    rest: Any


@define
class FleetAggregator:
    """Publish this VM's value of one kind and know the sum over the fleet.

    A delegate publishes the sum of its cell, which the delegates of other cells hear, and the sum
    of all others, which its own cell hears. So what a VM publishes does not grow with the fleet.

    Attributes:
        make_fact: Builds a fact of the kind from own, cell and rest.
        layout: Returns how the fleet is divided.
    """

    kind: str
    make_fact: Callable[[Any, Any, Any], AggregateFact]
    facts: FactTable
    layout: Callable[[], FleetLayout]
    ttl_ms: int

    def publish_and_merge(
        self, key: str, own: Mergeable, now_s: float, *, urgent: bool = False
    ) -> Any:
        """Publish this VM's value and return the sum over the fleet.

        On VMs that do not speak for their cell the sum is as old as what a delegate told, and holds
        this VM's value of that time.

        Args:
            own: This VM's value, which is all that is known before others have told theirs.
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
        """Return the values of the other VMs of this one's cell."""
        cell_peers = self.layout().cell_peers(self.facts.vm)
        return [value.own for vm, _, value in self._published_facts(key, now_s) if vm in cell_peers]

    def _other_cell_totals(self, key: str, now_s: float) -> list[Any]:
        """Return the newest sum of each other cell."""
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
        """Return the newest sum over the fleet that a VM of this one's cell has told."""
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
    """Add up two mappings by key; negative counts of other VMs are malformed and count as 0."""
    total = dict(some)
    for key, count in others.items():
        total[key] = total.get(key, 0) + max(0, count)
    return total


def _merge_all(values: Iterable[Any]) -> Any:
    """Return all values as one without those that are None; None if nothing is left."""
    total = None
    for value in values:
        if value is not None:
            total = value if total is None else total.merge(value)
    return total
