"""Select the VM that owns the rate of each workspace."""

from collections.abc import Callable

from attrs import define, field
from xxhash import xxh64_intdigest


@define
class RateOwners:
    """Assigns the rate of each workspace to one VM by rendezvous hashing.

    All VMs with the same candidates select the same owner, and a change of the candidates moves
    only the workspaces of VMs that came or went.

    Attributes:
        candidates: Returns the names of the VMs that may own a rate.
        names: The candidates when they were last read.
        owners: Owners chosen from them, by workspace.
    """

    candidates: Callable[[], tuple[str, ...]]
    names: tuple[str, ...] = ()
    owners: dict[str, str] = field(factory=dict)

    def refresh(self) -> None:
        """Read the candidates again, which costs too much for each request in a large fleet."""
        names = self.candidates()
        if names != self.names:
            self.names = names
            self.owners.clear()

    def owner_of(self, workspace: str) -> str | None:
        """Return the owner of a workspace's rate, None without candidates."""
        owner = self.owners.get(workspace)
        if owner is None and self.names:
            prefix = f"rate\0{workspace}\0"
            owner = min(self.names, key=lambda vm: (xxh64_intdigest((prefix + vm).encode()), vm))
            self.owners[workspace] = owner
        return owner
