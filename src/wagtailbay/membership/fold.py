"""Add up what every VM publishes, over a fleet whose VMs do not all hear each other."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Protocol, Self, TypeVar

from attrs import define

from wagtailbay.membership.facts import FactTable
from wagtailbay.membership.layout import FleetLayout

T = TypeVar("T", int, float)


class Foldable(Protocol):
    """Be a value of which two make one, in any order."""

    def merge(self, other: Self) -> Self:
        """Return what both say together."""


class FoldedFact(Protocol):
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
class FleetFold:
    """Publish this VM's value of one kind and know the sum over the fleet.

    A delegate publishes the sum of its cell, which the delegates of other cells hear, and the sum
    of all others, which its own cell hears. So what a VM publishes does not grow with the fleet.

    Attributes:
        make: Builds a fact of the kind from own, cell and rest.
        layout: Returns how the fleet is divided.
    """

    kind: str
    make: Callable[[Any, Any, Any], FoldedFact]
    facts: FactTable
    layout: Callable[[], FleetLayout]
    ttl_ms: int

    def exchange(self, key: str, own: Foldable, now_s: float, *, urgent: bool = False) -> Any:
        """Publish this VM's value and return the sum over the fleet.

        On VMs that do not speak for their cell the sum is as old as what a delegate told, and holds
        this VM's value of that time.

        Args:
            own: This VM's value, which is all that is known before others have told theirs.
        """
        layout = self.layout()
        cell = rest = None
        if layout.is_delegate(self.facts.vm):
            cell = _merged([own, *self._of_mates(key, now_s)])
            rest = _merged(self._of_other_cells(key, now_s))
            total = _merged([cell, rest])
        elif layout.is_divided:
            told = self._told(key, now_s)
            total = own if told is None else told
        else:
            published = self._published(key, now_s)
            total = _merged([own, *(value.own for _, _, value in published)])
        value = self.make(own, cell, rest)
        self.facts.publish(self.kind, key, value, ttl_ms=self.ttl_ms, now_s=now_s, urgent=urgent)
        return total

    def _published(self, key: str, now_s: float) -> Iterator[tuple[str, float, FoldedFact]]:
        for fact in self.facts.of_kind(self.kind, now_s):
            if fact.vm != self.facts.vm and fact.key == key:
                yield fact.vm, fact.expires_s, fact.value

    def _of_mates(self, key: str, now_s: float) -> list[Any]:
        """Return the values of the other VMs of this one's cell."""
        mates = self.layout().mates(self.facts.vm)
        return [value.own for vm, _, value in self._published(key, now_s) if vm in mates]

    def _of_other_cells(self, key: str, now_s: float) -> list[Any]:
        """Return the newest sum of each other cell."""
        layout = self.layout()
        own_cell = layout.cell_by_vm.get(self.facts.vm)
        newest: dict[str, tuple[float, Any]] = {}
        for vm, expires_s, value in self._published(key, now_s):
            cell = layout.cell_by_vm.get(vm)
            if cell is None or cell == own_cell or value.cell is None:
                continue
            if cell not in newest or newest[cell][0] < expires_s:
                newest[cell] = expires_s, value.cell
        return [value for _, value in newest.values()]

    def _told(self, key: str, now_s: float) -> Any:
        """Return the newest sum over the fleet that a VM of this one's cell has told."""
        mates = self.layout().mates(self.facts.vm)
        told = [
            (expires_s, vm, value)
            for vm, expires_s, value in self._published(key, now_s)
            if vm in mates and value.cell is not None
        ]
        if not told:
            return None
        newest = max(told, key=lambda item: item[:2])[2]
        return _merged([newest.cell, newest.rest])


def add_counts(some: Mapping[str, T], others: Mapping[str, T]) -> dict[str, T]:
    """Add up two mappings by key; negative counts of other VMs are malformed and count as 0."""
    total = dict(some)
    for key, count in others.items():
        total[key] = total.get(key, 0) + max(0, count)
    return total


def _merged(values: Iterable[Any]) -> Any:
    """Return all values as one without those that are None; None if nothing is left."""
    total = None
    for value in values:
        if value is not None:
            total = value if total is None else total.merge(value)
    return total
