"""Keep the latest accepted routing table active."""

from collections.abc import Mapping
from math import inf

from attrs import define, field
from result import Err

from wagtailbay.logs import log_event
from wagtailbay.replica import ChangeSignal, from_value, wait_until_due_s
from wagtailbay.routing.const import RESTORED_TABLE_DELAY_S, ROUTING_KEY
from wagtailbay.routing.models import RoutingTable
from wagtailbay.store import StoredObject, StorePosition


@define
class ActiveRouting:
    """Hold the active routing table, which is not replaced by an older version.

    The exception is a store that came back from an older copy: if it does not get the newer
    configuration again, the older one takes effect after RESTORED_TABLE_DELAY_S. The operator can
    write only while the store answers, so an older one that is due waits while the store does not.
    The time begins anew with each return.

    Attributes:
        era: Era of the store that was last seen.
        table: The active table; None until the first one arrives.
        table_era: Era of the store in which the active table was last read.
        applied_version: Store version of the object that was last processed.
        restored: Older table of a newer era, None if there is none.
        restored_due_s: When that table becomes active if the store answers.
        changed: Notified when another table becomes active.
    """

    era: int = 0
    table: RoutingTable | None = None
    table_era: int = 0
    applied_version: int = 0
    restored: RoutingTable | None = None
    restored_due_s: float = inf
    changed: ChangeSignal = field(factory=ChangeSignal)

    def apply(
        self, objects: Mapping[str, StoredObject], era: int, now_s: float, answered_s: float
    ) -> None:
        """Activate the replicated table if it is newer; keep the active one if it is invalid.

        Args:
            era: Highest era of the store that the replica has seen.
            answered_s: Until when the store is taken to have answered.
        """
        if era > self.era:
            self.era = era
            if self.restored is not None:
                self.restored_due_s = now_s + RESTORED_TABLE_DELAY_S
        stored = objects.get(ROUTING_KEY)
        if stored is None or stored.value is None or stored.version <= self.applied_version:
            if answered_s >= self.restored_due_s:
                self._activate(self.restored, self.applied_version)
            return
        self.applied_version = stored.version
        structured = from_value(stored.value, RoutingTable)
        if isinstance(structured, Err):
            log_event("routing_unusable", revision=stored.version, reason=structured.err_value)
            return
        self._consider(structured.ok_value, stored.version, now_s)

    def _consider(self, table: RoutingTable, stored_version: int, now_s: float) -> None:
        """Activate a table now, later or never."""
        era = StorePosition.era_of(stored_version)
        if self.table is None or table.version > self.table.version:
            self._activate(table, stored_version)
        elif table == self.table:
            self.table_era, self.restored, self.restored_due_s = era, None, inf
        elif era > self.table_era:
            if self.restored is None:
                self.restored_due_s = now_s + RESTORED_TABLE_DELAY_S
            self.restored = table
            log_event("routing_restored", version=table.version, in_force=self.table.version)
        else:
            log_event("routing_not_newer", version=table.version, in_force=self.table.version)

    def _activate(self, table: RoutingTable, stored_version: int) -> None:
        self.table, self.table_era = table, StorePosition.era_of(stored_version)
        self.restored, self.restored_due_s = None, inf
        log_event("routing_in_force", version=table.version, revision=stored_version)
        self.changed.notify()

    def wait_s(self, now_s: float) -> float:
        """Return the time until a restored table may become active, infinity if there is none."""
        return wait_until_due_s(self.restored_due_s, now_s)
