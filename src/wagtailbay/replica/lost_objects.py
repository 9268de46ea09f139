"""Keep objects in force that the store lost when it came back from an older copy."""

from collections.abc import Mapping
from math import inf

from attrs import define, field

from wagtailbay.logs import log_event
from wagtailbay.replica.const import LOSS_CHECK_INTERVAL_S, LOST_OBJECT_HOLD_S
from wagtailbay.store import StoredObject, StorePosition


@define
class LostObjectHold:
    """Hides the loss of objects for as long as their writers may take to write them again.

    An object counts as lost if its deletion belongs to a later era than its last known version.
    Its writer can write it only while the store answers, so a loss that is due waits while the
    store does not. The time begins anew with each return.

    Attributes:
        prefixes: Prefixes of the objects that are held.
        era: Era of the store that was last seen.
        known: Last existing version of each of these objects.
        due_s: When the loss of an object takes effect if the store answers, by key.
    """

    prefixes: tuple[str, ...]
    era: int = 0
    known: dict[str, StoredObject] = field(factory=dict)
    due_s: dict[str, float] = field(factory=dict)

    def apply(
        self, objects: Mapping[str, StoredObject], era: int, now_s: float, answered_s: float
    ) -> Mapping[str, StoredObject]:
        """Return the replicated objects, with lost ones as they were known until they are due.

        Args:
            era: Highest era of the store that the replica has seen.
            answered_s: Until when the store is taken to have answered.
        """
        if era > self.era:
            self.era = era
            self.due_s = dict.fromkeys(self.due_s, now_s + LOST_OBJECT_HOLD_S)
        held: dict[str, StoredObject] = {}
        for key, stored in objects.items():
            if not key.startswith(self.prefixes):
                continue
            if stored.value is not None:
                self.known[key] = stored
                self.due_s.pop(key, None)
            elif self._is_held(key, stored, now_s, answered_s):
                held[key] = self.known[key]
        return {**objects, **held} if held else objects

    def _is_held(self, key: str, deletion: StoredObject, now_s: float, answered_s: float) -> bool:
        """Return whether a deletion must not take effect yet."""
        known = self.known.get(key)
        if known is None:
            return False
        if StorePosition.is_in_later_era(deletion.version, known.version):
            if key not in self.due_s:
                self.due_s[key] = now_s + LOST_OBJECT_HOLD_S
                log_event("lost_object_held", key=key, revision=deletion.version)
            if answered_s < self.due_s[key]:
                return True
        del self.known[key]
        self.due_s.pop(key, None)
        return False

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next loss may take effect, infinity if there is none."""
        return wait_until_due_s(min(self.due_s.values(), default=inf), now_s)


def wait_until_due_s(due_s: float, now_s: float) -> float:
    """Return the time until a loss is due; if it is, that until the next check of the store."""
    return max(LOSS_CHECK_INTERVAL_S, due_s - now_s)
