"""Add up what every VM publishes, over a fleet whose VMs do not all hear each other."""

from collections.abc import Callable, Iterator
from typing import Any, Protocol, Self

from attrs import define

from wagtailbay.membership.facts import FactTable
from wagtailbay.membership.layout import FleetLayout


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

    def publish(self, key: str, own: Foldable, now_s: float, *, urgent: bool = False) -> None:
        """Publish this VM's value, with those of others if this VM speaks for its cell."""
        cell = rest = None
        if self.layout().is_delegate(self.facts.vm):
            cell = _merged([own, *self._of_mates(key, now_s)])
            rest = _merged(self._of_other_cells(key, now_s))
        value = self.make(own, cell, rest)
        self.facts.publish(self.kind, key, value, ttl_ms=self.ttl_ms, now_s=now_s, urgent=urgent)

    def total(self, key: str, own: Foldable, now_s: float) -> Any:
        """Return the sum over the fleet.

        Of VMs that do not speak for their cell it is as old as what a delegate told, and holds this
        VM's value of that time.

        Args:
            own: This VM's value, which is all that is known before others have told theirs.
        """
        layout = self.layout()
        if not layout.is_divided:
            published = self._published(key, now_s)
            return _merged([own, *(value.own for _, _, value in published)])
        if layout.is_delegate(self.facts.vm):
            others = self._of_mates(key, now_s) + self._of_other_cells(key, now_s)
            return _merged([own, *others])
        told = self._told(key, now_s)
        return own if told is None else told

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
        return newest.cell if newest.rest is None else newest.cell.merge(newest.rest)


def _merged(values: list[Any]) -> Any:
    """Return all values as one, None if there are none."""
    total = None
    for value in values:
        total = value if total is None else total.merge(value)
    return total
