"""Replica of the store's objects and its freshness."""

from collections.abc import Callable, Iterable

from attrs import define, field
from xxhash import xxh64_intdigest

from wagtailbay.logs import log_event
from wagtailbay.replica.signal import ChangeSignal
from wagtailbay.store import StoredObject, StorePosition


@define
class Replica:
    """Newest known version of each replicated object.

    Attributes:
        revision: Store revision up to which every change is included.
        era: Highest era of the store that any object or revision belongs to.
        deletions_since: Store revision after which every deletion is included in ``objects``.
        objects: Objects by key, including deleted ones with value None.
        position: Counter that increases with each applied object.
        positions: Position at which the newest version of each object was applied, by key.
        digest: Hash of the keys and versions of all existing objects; equal for two replicas with
            the same objects.
        changed: Notified when any object has changed.
        on_restore: Called when the store is known to have come back from an older copy.
        accepts_updates: Whether objects are applied after the first ones; tests set it to False.
    """

    revision: int = 0
    era: int = 0
    deletions_since: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    position: int = 0
    positions: dict[str, int] = field(factory=dict)
    digest: int = 0
    changed: ChangeSignal = field(factory=ChangeSignal)
    on_restore: Callable[[], None] = lambda: None
    accepts_updates: bool = True

    def apply(self, objects: Iterable[StoredObject], revision: int) -> bool:
        """Apply all changes between the replica's revision and the given one.

        An object is ignored if its version is not higher than the known one. An unknown object
        whose version is not higher than the replica's revision is also ignored, since it must have
        been deleted since. So are objects of an earlier era. An outdated source therefore never
        reverts a change. Returns whether any object changed.
        """
        if self.objects and not self.accepts_updates:
            return False
        changed = False
        objects = tuple(objects)
        self._enter_era(max((revision, *(stored.version for stored in objects))))
        for stored in objects:
            known = self.objects.get(stored.key)
            if StorePosition.era_of(stored.version) < self.era:
                continue
            if stored.version > (self.revision if known is None else known.version):
                self.digest ^= _version_hash(known) ^ _version_hash(stored)
                self.objects[stored.key] = stored
                self.position += 1
                self.positions[stored.key] = self.position
                changed = True
        self.revision = max(self.revision, revision)
        if changed:
            self.changed.notify()
        return changed

    def _enter_era(self, version: int) -> None:
        """Note that the store came back from an older copy if a version shows it.

        Objects that the store lost then are found by complete listings only, so peers that have not
        reached the era get such a listing.
        """
        position = StorePosition.from_version(version)
        if position.era <= self.era:
            return
        if self.revision:
            known = StorePosition.from_version(self.revision)
            log_event(
                "store_era_changed",
                era=position.era,
                revision=position.revision,
                previous_era=known.era,
                previous_revision=known.revision,
            )
            self.on_restore()
        self.era = position.era
        self.deletions_since = max(self.deletions_since, StorePosition(self.era, 0).version)

    def replace_prefix(self, prefix: str, objects: Iterable[StoredObject], revision: int) -> bool:
        """Apply a complete listing of the objects under one prefix at a revision.

        The replica's own revision does not change, since the listing does not cover other prefixes.
        Returns whether any object changed.
        """
        listed = tuple(objects)
        if StorePosition.era_of(revision) < self.era:
            return False
        # An empty listing has no object that shows the era.
        self._enter_era(revision)
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
        # Listed objects exist, so unknown ones are applied however old their version is.
        for stored in listed:
            if stored.key not in self.objects:
                self.objects[stored.key] = StoredObject(stored.key, 0, None)
        return self.apply((*listed, *deleted), self.revision)

    def replace(self, objects: Iterable[StoredObject], revision: int) -> bool:
        """Apply a complete listing of the objects that existed at a revision.

        A listing does not contain deleted objects, so a known object that is missing from it has
        been deleted. Objects created and deleted after the replica's revision remain unknown, so
        deletions are complete only after the listing's revision. Returns whether any object
        changed.
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
        """Return all objects that are not deleted, by ascending version."""
        existing = (stored for stored in self.objects.values() if stored.value is not None)
        return tuple(sorted(existing, key=lambda stored: stored.version))

    def delta_since(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects changed after a revision, by ascending version."""
        newer = (stored for stored in self.objects.values() if stored.version > revision)
        return tuple(sorted(newer, key=lambda stored: stored.version))

    def value(self, key: str) -> object | None:
        """Return the value of an object, or None if it is unknown or deleted."""
        stored = self.objects.get(key)
        return None if stored is None else stored.value

    def with_prefix(self, prefix: str) -> dict[str, StoredObject]:
        """Return the existing objects under a prefix, by key."""
        return {
            key: stored
            for key, stored in self.objects.items()
            if key.startswith(prefix) and stored.value is not None
        }


def _version_hash(stored: StoredObject | None) -> int:
    """Return the part of an object in the digest, 0 if it does not exist."""
    if stored is None or stored.value is None:
        return 0
    return xxh64_intdigest(f"{stored.key}\0{stored.version}".encode())


@define
class Freshness:
    """Time at which this VM's replica was last known to match the store."""

    confirmed_s: float | None = None

    def confirm(self, now_s: float, age_ms: float = 0.0) -> None:
        """Record that the replica matched the store ``age_ms`` before ``now_s``."""
        confirmed_s = now_s - age_ms / 1000
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def age_ms(self, now_s: float) -> float | None:
        """Return the time since the last confirmation, or None if there was none."""
        return None if self.confirmed_s is None else max(0.0, (now_s - self.confirmed_s) * 1000)
