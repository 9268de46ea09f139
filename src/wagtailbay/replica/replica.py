"""Hold replicated objects and how fresh they are."""

from collections.abc import Iterable

from attrs import define, field
from xxhash import xxh64_intdigest

from wagtailbay.replica.signal import ChangeSignal
from wagtailbay.store import StoredObject


@define
class Replica:
    """Hold the newest known version of each object.

    Attributes:
        revision: Every change up to this store revision is included.
        objects: By key, deleted ones included with value None.
        deletions_since: Every deletion after this revision is included in objects.
        position: Grows with each object taken in.
        positions: The position of each object's newest version.
        digest: Of all keys and versions; two replicas with the same one hold the same objects.
        follows: Test-only switch; False takes nothing in after the first objects.
    """

    revision: int = 0
    deletions_since: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    position: int = 0
    positions: dict[str, int] = field(factory=dict)
    digest: int = 0
    changed: ChangeSignal = field(factory=ChangeSignal)
    accepts_updates: bool = True

    def apply(self, objects: Iterable[StoredObject], revision: int) -> bool:
        """Take in objects that are complete from this replica's revision up to the given one.

        An object with a version that is not higher than the known one is ignored, and so is an
        unknown one from before this replica's revision, which must have been deleted since. A
        lagging source therefore never reverts anything. Returns whether any object changed.
        """
        if self.objects and not self.accepts_updates:
            return False
        changed = False
        for stored in objects:
            known = self.objects.get(stored.key)
            if stored.version > (self.revision if known is None else known.version):
                if known is not None and known.version:
                    self.digest ^= _version_hash(known)
                self.digest ^= _version_hash(stored)
                self.objects[stored.key] = stored
                self.position += 1
                self.positions[stored.key] = self.position
                changed = True
        self.revision = max(self.revision, revision)
        if changed:
            self.changed.notify()
        return changed

    def replace_prefix(self, prefix: str, objects: Iterable[StoredObject], revision: int) -> bool:
        """Take in a complete listing of the objects under one prefix at a revision.

        The replica's own revision stays, since the listing says nothing of other prefixes.
        Returns whether any object changed.
        """
        listed = tuple(objects)
        keys = {stored.key for stored in listed}
        deleted = tuple(
            StoredObject(key, revision, None)
            for key, stored in self.objects.items()
            if key.startswith(prefix)
            and key not in keys
            and stored.value is not None
            and stored.version < revision
        )
        if deleted:
            self.deletions_since = max(self.deletions_since, revision)
        # Unknown objects of the listing exist, however old they are.
        for stored in listed:
            if stored.key not in self.objects:
                self.objects[stored.key] = StoredObject(stored.key, 0, None)
        return self.apply((*listed, *deleted), self.revision)

    def replace(self, objects: Iterable[StoredObject], revision: int) -> bool:
        """Take in a complete listing of the objects that existed at a revision.

        A listing names no deleted objects, so a known object that it lacks was deleted by then.
        Objects created and deleted since this replica's revision stay unknown, so the deletions
        are complete only from the listing's revision on. Returns whether any object changed.
        """
        listed = tuple(objects)
        if revision < self.revision:
            return self.apply(listed, revision)
        if revision > self.revision:
            self.deletions_since = revision
        keys = {stored.key for stored in listed}
        deleted = (
            StoredObject(key, revision, None)
            for key, stored in self.objects.items()
            if key not in keys and stored.value is not None and stored.version < revision
        )
        return self.apply((*listed, *deleted), revision)

    def existing_objects(self) -> tuple[StoredObject, ...]:
        """Return all objects that are not deleted, oldest first."""
        existing = (stored for stored in self.objects.values() if stored.value is not None)
        return tuple(sorted(existing, key=lambda stored: stored.version))

    def delta_since(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects changed after a revision, oldest first."""
        newer = (stored for stored in self.objects.values() if stored.version > revision)
        return tuple(sorted(newer, key=lambda stored: stored.version))

    def value(self, key: str) -> object | None:
        """Return an object's value; None if it is unknown or deleted."""
        stored = self.objects.get(key)
        return None if stored is None else stored.value

    def with_prefix(self, prefix: str) -> dict[str, StoredObject]:
        """Return the objects that exist under a prefix."""
        return {
            key: stored
            for key, stored in self.objects.items()
            if key.startswith(prefix) and stored.value is not None
        }


def _version_hash(stored: StoredObject) -> int:
    return xxh64_intdigest(f"{stored.key}\0{stored.version}".encode())


@define
class Freshness:
    """Track when this VM's replica was last known to equal the store."""

    confirmed_s: float | None = None

    def confirm(self, now_s: float, age_ms: float = 0.0) -> None:
        """Record that the replica was current age_ms before now_s."""
        confirmed_s = now_s - age_ms / 1000
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def age_ms(self, now_s: float) -> float | None:
        """Return the age of the last confirmation, None if there was none."""
        return None if self.confirmed_s is None else max(0.0, (now_s - self.confirmed_s) * 1000)
