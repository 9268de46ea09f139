"""Order of the store's states across restores from an older copy."""

from typing import Final, Self

from attrs import frozen

REVISION_BITS: Final = 40
MAX_REVISION: Final = 2**REVISION_BITS - 1
# Versions are sent to other VMs as 64-bit integers.
MAX_ERA: Final = 2 ** (63 - REVISION_BITS) - 1


@frozen(order=True)
class StorePosition:
    """State of the store: its era, which rises with each restore, and the revision in that era.

    Versions and revisions of this product are positions packed into one integer, so that comparing
    them compares the eras first. Where the store has no eras, they are the store's own revisions.
    """

    era: int
    revision: int

    @property
    def version(self) -> int:
        """Return the position as one integer."""
        return self.era << REVISION_BITS | self.revision

    @classmethod
    def era_of(cls, version: int) -> int:
        """Return the era of a version."""
        return version >> REVISION_BITS

    @classmethod
    def is_in_later_era(cls, version: int, known_version: int) -> bool:
        """Return whether the store came back from an older copy between two versions."""
        return cls.era_of(version) > cls.era_of(known_version)

    @classmethod
    def from_version(cls, version: int) -> Self:
        """Return the position that was packed into an integer."""
        return cls(version >> REVISION_BITS, version & MAX_REVISION)
