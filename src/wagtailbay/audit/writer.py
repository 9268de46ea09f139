"""Write audit records, waiting for the store where it is down."""

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
    """Queue records and write them one after another.

    A record that cannot be queued, or is still queued when the process ends, is logged in full
    and counted; it is never dropped without a trace.

    Attributes:
        on_lost: Called for each record that does not reach the store.
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
        """Queue a record; does not wait for the store."""
        if len(self.queue) >= self.max_queued:
            self._report_lost(record, "the queue is full")
            return
        self.queue.append(record)
        self._records_queued.set()

    async def run(self) -> None:
        """Write queued records for as long as the process runs."""
        while True:
            while self.queue:
                record = self.queue[0]
                await self._write(record)
                # A flush may have given the record up while the store was waited for.
                if self.queue and self.queue[0] is record:
                    self.queue.pop(0)
            self._queue_emptied.set()
            self._queue_emptied = trio.Event()
            self._records_queued = trio.Event()
            await self._records_queued.wait()

    async def flush(self, timeout_s: float = FLUSH_TIMEOUT_S) -> None:
        """Wait until the queue is empty; what is left after the timeout is logged as lost."""
        with trio.move_on_after(timeout_s):
            while self.queue:
                await self._queue_emptied.wait()
        while self.queue:
            self._report_lost(self.queue.pop(0), "the process ends while the store does not answer")

    async def _write(self, record: AuditRecord) -> None:
        backoff_s = self.initial_backoff_s
        key, value = audit_key(record), encode_record(record)
        while True:
            match await self.store.put(key, value, 0):
                case Ok():
                    break
                case Err(VersionConflict()):
                    # The random id makes the key unique, so an earlier try has written it.
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
