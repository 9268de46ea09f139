"""Divide a large fleet into cells whose VMs hear each other through delegates."""

from collections.abc import Collection, Mapping
from functools import cached_property

from attrs import frozen
from xxhash import xxh64_intdigest

from wagtailbay.membership.const import DELEGATES_PER_CELL, FULL_MESH_VMS, MAX_CELL_VMS
from wagtailbay.membership.selection import rendezvous_order


@frozen(slots=False)
class FleetLayout:
    """Hold which VMs form a cell and which of them speak for it.

    A small fleet is one cell whose VMs all hear each other. In a large one each availability zone
    is a cell, or several. The delegates of a cell hear all its VMs, and those of the same rank of
    every other cell; the other VMs hear their delegates only.

    Attributes:
        cells: The VMs of each cell in order of name.
        delegates: The VMs that speak for each cell, by rank; empty for the only cell.
    """

    cells: dict[str, tuple[str, ...]]
    delegates: dict[str, tuple[str, ...]]

    @cached_property
    def cell_by_vm(self) -> dict[str, str]:
        """Return the cell of each VM."""
        return {vm: cell for cell, vms in self.cells.items() for vm in vms}

    @property
    def is_divided(self) -> bool:
        """Tell whether there is more than one cell."""
        return len(self.cells) > 1

    def cell_peers(self, vm: str) -> frozenset[str]:
        """Return the other VMs of a VM's cell."""
        return frozenset(self.cells.get(self.cell_by_vm.get(vm, ""), ())) - {vm}

    def is_delegate(self, vm: str) -> bool:
        """Tell whether a VM speaks for its cell."""
        return vm in self.delegates.get(self.cell_by_vm.get(vm, ""), ())

    def neighbours(self, vm: str) -> frozenset[str]:
        """Return the VMs that a VM exchanges messages with."""
        own = self.cell_by_vm.get(vm, "")
        if self.is_divided and not self.is_delegate(vm):
            return frozenset(self.delegates.get(own, ()))
        ranks = [rank for rank, name in enumerate(self.delegates.get(own, ())) if name == vm]
        peers = {
            names[min(rank, len(names) - 1)]
            for rank in ranks
            for cell, names in self.delegates.items()
            if cell != own and names
        }
        return self.cell_peers(vm) | peers


def build_layout(zones: Mapping[str, str | None], live: Collection[str]) -> FleetLayout:
    """Divide VMs into cells.

    Args:
        zones: The availability zone of each known VM by its name, this one's included.
        live: The VMs that answer; only they speak for others, and they make a fleet large.
    """
    if len(live) <= FULL_MESH_VMS:
        return FleetLayout({"": tuple(sorted(zones))}, {})
    by_zone: dict[str, list[str]] = {}
    for vm in sorted(zones):
        by_zone.setdefault(zones[vm] or "", []).append(vm)
    cells: dict[str, list[str]] = {}
    for zone, vms in by_zone.items():
        parts = -(-len(vms) // MAX_CELL_VMS)
        for vm in vms:
            part = xxh64_intdigest(f"cell\0{vm}".encode()) % parts
            cells.setdefault(f"{zone}/{part}", []).append(vm)
    return FleetLayout(
        {cell: tuple(vms) for cell, vms in cells.items()},
        {cell: _delegates(cell, vms, live) for cell, vms in cells.items()},
    )


def _delegates(cell: str, vms: list[str], live: Collection[str]) -> tuple[str, ...]:
    """Return who speaks for a cell; of one that is not heard at all, whom to call for it."""
    live_vms = [vm for vm in vms if vm in live]
    return tuple(rendezvous_order(f"delegate\0{cell}", live_vms or vms)[:DELEGATES_PER_CELL])
