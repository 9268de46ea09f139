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
    """

    candidates: Callable[[], tuple[str, ...]]
    _names: tuple[str, ...] = ()
    _owners: dict[str, str] = field(factory=dict)

    def owner_of(self, workspace: str) -> str | None:
        """Return the owner of a workspace's rate, None without candidates."""
        names = self.candidates()
        if names != self._names:
            self._names = names
            self._owners.clear()
        owner = self._owners.get(workspace)
        if owner is None and names:
            prefix = f"rate\0{workspace}\0"
            owner = min(names, key=lambda vm: (xxh64_intdigest((prefix + vm).encode()), vm))
            self._owners[workspace] = owner
        return owner
