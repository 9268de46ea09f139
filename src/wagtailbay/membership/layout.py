"""Divide a large fleet into cells that exchange messages through delegates."""

from collections.abc import Collection, Mapping
from functools import cached_property

from attrs import frozen
from xxhash import xxh64_intdigest

from wagtailbay.membership.const import DELEGATES_PER_CELL, FULL_MESH_VMS, MAX_CELL_VMS
from wagtailbay.membership.selection import rendezvous_order


@frozen(slots=False)
class FleetLayout:
    """Assignment of VMs to cells, and the delegates of each cell.

    A small fleet is one cell that forms a full mesh. In a large fleet each availability zone is
    one cell or several. A delegate exchanges messages with all VMs of its cell and with the
    delegate of the same rank in every other cell; other VMs only with the delegates of their cell.

    Attributes:
        cells: The VMs of each cell, sorted by name.
        delegates: The delegates of each cell, by rank; empty if there is only one cell.
    """

    cells: dict[str, tuple[str, ...]]
    delegates: dict[str, tuple[str, ...]]

    @cached_property
    def cell_by_vm(self) -> dict[str, str]:
        """Return the name of each VM's cell."""
        return {vm: cell for cell, vms in self.cells.items() for vm in vms}

    @property
    def is_divided(self) -> bool:
        """Return whether there is more than one cell."""
        return len(self.cells) > 1

    def cell_peers(self, vm: str) -> frozenset[str]:
        """Return the other VMs in the cell of a VM."""
        return frozenset(self.cells.get(self.cell_by_vm.get(vm, ""), ())) - {vm}

    def is_delegate(self, vm: str) -> bool:
        """Return whether a VM is a delegate of its cell."""
        return vm in self.delegates.get(self.cell_by_vm.get(vm, ""), ())

    def delegate_rank(self, vm: str) -> int | None:
        """Return the rank of a VM among the delegates of its cell, None if it is not one."""
        names = self.delegates.get(self.cell_by_vm.get(vm, ""), ())
        return names.index(vm) if vm in names else None

    def neighbours(self, vm: str) -> frozenset[str]:
        """Return the VMs with which a VM exchanges messages directly."""
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


def build_layout(
    zones: Mapping[str, str | None],
    live: Collection[str],
    preferred: Collection[str] = (),
) -> FleetLayout:
    """Divide VMs into cells.

    Args:
        zones: The availability zone of each known VM by its name, including this VM.
        live: The VMs that answer. Their number decides whether the fleet is divided, and the
            delegates are chosen from them.
        preferred: The VMs from which a cell chooses its delegates as long as it has any. The others
            follow if there are too few.
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
        {cell: _delegates(cell, vms, live, preferred) for cell, vms in cells.items()},
    )


def _delegates(
    cell: str, vms: list[str], live: Collection[str], preferred: Collection[str]
) -> tuple[str, ...]:
    """Return the delegates of a cell; if none of its VMs is live, the VMs to call in it."""
    live_vms = [vm for vm in vms if vm in live]
    ordered = rendezvous_order(f"delegate\0{cell}", live_vms or vms)
    ordered.sort(key=lambda vm: vm not in preferred)
    return tuple(ordered[:DELEGATES_PER_CELL])
