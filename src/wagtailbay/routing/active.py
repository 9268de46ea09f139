"""Keep the latest accepted routing table active."""

from collections.abc import Mapping

from attrs import define, field
from result import Err

from wagtailbay.logs import log_event
from wagtailbay.replica import ChangeSignal, from_value
from wagtailbay.routing.const import ROUTING_KEY
from wagtailbay.routing.models import RoutingTable
from wagtailbay.store import StoredObject


@define
class ActiveRouting:
    """Hold the active routing table, which is never replaced by an older version.

    Attributes:
        table: The active table; None until the first one arrives.
        applied_version: Store version of the object that was last processed.
        changed: Notified when another table becomes active.
    """

    table: RoutingTable | None = None
    applied_version: int = 0
    changed: ChangeSignal = field(factory=ChangeSignal)

    def apply(self, objects: Mapping[str, StoredObject]) -> None:
        """Activate the replicated table if it is newer; keep the active one if it is invalid."""
        stored = objects.get(ROUTING_KEY)
        if stored is None or stored.value is None or stored.version <= self.applied_version:
            return
        self.applied_version = stored.version
        structured = from_value(stored.value, RoutingTable)
        if isinstance(structured, Err):
            log_event("routing_unusable", revision=stored.version, reason=structured.err_value)
            return
        table = structured.ok_value
        if self.table is not None and table.version <= self.table.version:
            log_event("routing_not_newer", version=table.version, in_force=self.table.version)
            return
        self.table = table
        log_event("routing_in_force", version=table.version, revision=stored.version)
        self.changed.notify()
