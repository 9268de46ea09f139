"""Keep objects in force that the store lost when it came back from an older copy."""

from collections.abc import Mapping
from math import inf

from attrs import define, field

from wagtailbay.logs import log_event
from wagtailbay.replica.const import LOST_OBJECT_HOLD_S
from wagtailbay.store import StoredObject, StorePosition


@define
class LostObjectHold:
    """Hides the loss of objects for as long as their writers may take to write them again.

    An object counts as lost if its deletion belongs to a later era than its last known version.

    Attributes:
        prefixes: Prefixes of the objects that are held.
        known: Last existing version of each of these objects.
        due_s: When the loss of an object takes effect, by key.
    """

    prefixes: tuple[str, ...]
    known: dict[str, StoredObject] = field(factory=dict)
    due_s: dict[str, float] = field(factory=dict)

    def apply(
        self, objects: Mapping[str, StoredObject], now_s: float
    ) -> Mapping[str, StoredObject]:
        """Return the replicated objects, with lost ones as they were known until they are due."""
        held: dict[str, StoredObject] = {}
        for key, stored in objects.items():
            if not key.startswith(self.prefixes):
                continue
            if stored.value is not None:
                self.known[key] = stored
                self.due_s.pop(key, None)
            elif self._is_held(key, stored, now_s):
                held[key] = self.known[key]
        return {**objects, **held} if held else objects

    def _is_held(self, key: str, deletion: StoredObject, now_s: float) -> bool:
        """Return whether a deletion must not take effect yet."""
        known = self.known.get(key)
        if known is None:
            return False
        if StorePosition.era_of(deletion.version) > StorePosition.era_of(known.version):
            if key not in self.due_s:
                self.due_s[key] = now_s + LOST_OBJECT_HOLD_S
                log_event("lost_object_held", key=key, revision=deletion.version)
            if now_s < self.due_s[key]:
                return True
        del self.known[key]
        self.due_s.pop(key, None)
        return False

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next loss takes effect, infinity if there is none."""
        return max(0.0, min(self.due_s.values(), default=inf) - now_s)
