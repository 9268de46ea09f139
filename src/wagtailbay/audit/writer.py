"""Queued writing of audit records that survives outages of the store."""

from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.audit.const import (
    FLUSH_TIMEOUT_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_QUEUED_RECORDS,
)
from wagtailbay.audit.models import AuditRecord
from wagtailbay.audit.wire import audit_key, encode_record
from wagtailbay.logs import log_event
from wagtailbay.store import ObjectStore, VersionConflict


@define
class AuditWriter:
    """Queues audit records and writes them to the store in order.

    A record that does not fit in the queue, or is still queued when the process stops, is counted
    and written to the log in full.

    Attributes:
        on_lost: Called for each record that is not written to the store.
        queue: Records that are not written yet, oldest first.
        written: The number of records written to the store.
        lost: The number of records that were only logged.
    """

    store: ObjectStore
    on_lost: Callable[[], None] = lambda: None
    max_queued: int = MAX_QUEUED_RECORDS
    initial_backoff_s: float = INITIAL_BACKOFF_S
    queue: list[AuditRecord] = field(factory=list)
    written: int = 0
    lost: int = 0
    _records_queued: trio.Event = field(factory=trio.Event)
    _queue_emptied: trio.Event = field(factory=trio.Event)

    def enqueue(self, record: AuditRecord) -> None:
        """Queue a record without waiting for the store."""
        if len(self.queue) >= self.max_queued:
            self._report_lost(record, "the queue is full")
            return
        self.queue.append(record)
        self._records_queued.set()

    async def run(self) -> None:
        """Write queued records until cancelled."""
        while True:
            while self.queue:
                record = self.queue[0]
                await self._write(record)
                # A flush that timed out may have removed the record during the write.
                if self.queue and self.queue[0] is record:
                    self.queue.pop(0)
            self._queue_emptied.set()
            self._queue_emptied = trio.Event()
            self._records_queued = trio.Event()
            await self._records_queued.wait()

    async def flush(self, timeout_s: float = FLUSH_TIMEOUT_S) -> None:
        """Wait until the queue is empty; log records that are left after the timeout as lost."""
        with trio.move_on_after(timeout_s):
            while self.queue:
                await self._queue_emptied.wait()
        while self.queue:
            self._report_lost(
                self.queue.pop(0), "the process stops before the store has accepted the record"
            )

    async def _write(self, record: AuditRecord) -> None:
        backoff_s = self.initial_backoff_s
        key, value = audit_key(record), encode_record(record)
        while True:
            match await self.store.put(key, value, 0):
                case Ok():
                    break
                case Err(VersionConflict()):
                    # The key has a random id, so an earlier attempt has already written the record.
                    break
                case Err(error):
                    log_event("audit_write_delayed", queued=len(self.queue), reason=error.message)
            await trio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        self.written += 1

    def _report_lost(self, record: AuditRecord, reason: str) -> None:
        self.lost += 1
        self.on_lost()
        log_event("audit_record_lost", reason=reason, **encode_record(record))
