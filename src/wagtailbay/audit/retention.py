"""Remove audit records that are older than the retention time."""

import uuid
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.audit.const import (
    DELETES_PER_STEP,
    RETENTION_ACTOR,
    RETENTION_DAYS_SEARCHED,
    RETENTION_INTERVAL_S,
)
from wagtailbay.audit.models import AuditRecord
from wagtailbay.audit.wire import day_prefix
from wagtailbay.audit.writer import AuditWriter
from wagtailbay.logs import log_event
from wagtailbay.store import ObjectStore


@define
class RetentionSweep:
    """Search one UTC day at a time, so that a step costs one list call and bounded deletions.

    Several administration programs may sweep at once: a deletion that another one has done is
    a version conflict and counts for neither.

    Attributes:
        retention_days: Records of this many whole UTC days are kept; 0 keeps all.
        days: The days left in this round, newest first.
    """

    store: ObjectStore
    writer: AuditWriter
    retention_days: int
    unix_time: Callable[[], float]
    days: Iterator[datetime] = field(factory=lambda: iter(()))

    async def run(self) -> None:
        """Sweep for as long as the process runs."""
        while self.retention_days > 0:
            await trio.sleep(RETENTION_INTERVAL_S)
            await self.step(self.unix_time())

    async def step(self, now_unix_s: float) -> int:
        """Remove old records of the next day and return how many went."""
        day = next(self.days, None)
        if day is None:
            self.days = self._round(now_unix_s)
            day = next(self.days)
        listing = await self.store.list((day_prefix(day),))
        if isinstance(listing, Err):
            log_event("audit_expiry_failed", day=f"{day:%Y%m%d}", reason=listing.err_value.message)
            return 0
        removed = 0
        for item in listing.ok_value.objects[:DELETES_PER_STEP]:
            removed += isinstance(await self.store.delete(item.key, item.version), Ok)
        if removed:
            self.writer.record(_removal(day, removed, now_unix_s))
        return removed

    def _round(self, now_unix_s: float) -> Iterator[datetime]:
        first = datetime.fromtimestamp(now_unix_s, UTC) - timedelta(days=self.retention_days + 1)
        return (first - timedelta(days=back) for back in range(RETENTION_DAYS_SEARCHED))


def _removal(day: datetime, removed: int, now_unix_s: float) -> AuditRecord:
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
