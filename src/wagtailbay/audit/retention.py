"""Deletion of audit records that are older than the retention time."""

import uuid
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.audit.const import (
    MAX_DELETES_PER_STEP,
    RETENTION_ACTOR,
    RETENTION_INTERVAL_S,
    RETENTION_SEARCH_DAYS,
)
from wagtailbay.audit.models import AuditRecord
from wagtailbay.audit.wire import day_prefix
from wagtailbay.audit.writer import AuditWriter
from wagtailbay.logs import log_event
from wagtailbay.store import ObjectStore


@define
class AuditSweeper:
    """Deletes expired audit records, one UTC day per step.

    Each step takes one list call and a limited number of deletions. Several administration programs
    may sweep at the same time: deleting a record that another program has deleted is a version
    conflict, which is ignored.

    Attributes:
        retention_days: The number of whole UTC days whose records are kept; 0 keeps all records.
        remaining_days: The days left to search before the search restarts, newest first.
    """

    store: ObjectStore
    writer: AuditWriter
    retention_days: int
    unix_time: Callable[[], float]
    remaining_days: Iterator[datetime] = field(factory=lambda: iter(()))

    async def run(self) -> None:
        """Sweep one day per interval until cancelled; return at once if all records are kept."""
        while self.retention_days > 0:
            await trio.sleep(RETENTION_INTERVAL_S)
            await self.sweep_next_day(self.unix_time())

    async def sweep_next_day(self, now_unix_s: float) -> int:
        """Delete the records of the next expired day and return how many were deleted."""
        day = next(self.remaining_days, None)
        if day is None:
            self.remaining_days = self._search_days(now_unix_s)
            day = next(self.remaining_days)
        listing = await self.store.list((day_prefix(day),))
        if isinstance(listing, Err):
            log_event("audit_expiry_failed", day=f"{day:%Y%m%d}", reason=listing.err_value.message)
            return 0
        removed = 0
        for stored in listing.ok_value.objects[:MAX_DELETES_PER_STEP]:
            removed += isinstance(await self.store.delete(stored.key, stored.version), Ok)
        if removed:
            self.writer.enqueue(_removal_record(day, removed, now_unix_s))
        return removed

    def _search_days(self, now_unix_s: float) -> Iterator[datetime]:
        newest_day = datetime.fromtimestamp(now_unix_s, UTC) - timedelta(
            days=self.retention_days + 1
        )
        return (newest_day - timedelta(days=offset) for offset in range(RETENTION_SEARCH_DAYS))


def _removal_record(day: datetime, removed: int, now_unix_s: float) -> AuditRecord:
    return AuditRecord(
        record_id=uuid.uuid4().hex,
        when_unix_s=now_unix_s,
        who=RETENTION_ACTOR,
        action="audit.expire",
        subject=day_prefix(day),
        from_version=None,
        to_version=None,
        why="older than the retention time",
        outcome="accepted",
        detail=f"removed {removed} records",
    )
