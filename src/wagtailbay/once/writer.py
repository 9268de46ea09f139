"""Record outcomes in the store and retry failed writes in the background."""

import trio
from attrs import define, evolve, field, frozen
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.once.const import (
    INITIAL_RETRY_DELAY_S,
    MAX_PENDING_BYTES,
    MAX_PENDING_WRITES,
    MAX_RETRY_DELAY_S,
    OUTCOME_WRITE_TIMEOUT_S,
)
from wagtailbay.once.limiters import StoreCallLimiter
from wagtailbay.once.models import ClaimRecord, ClaimState
from wagtailbay.once.wire import decode_claim, encode_claim
from wagtailbay.replica import ChangeSignal
from wagtailbay.store import StoredObject, VersionConflict


@frozen
class PendingWrite:
    """A record that the store has not yet confirmed.

    Attributes:
        base_version: Object version that the record replaces; None if it must be read first.
    """

    object_key: str
    record: ClaimRecord
    base_version: int | None

    @property
    def size_bytes(self) -> int:
        """Return the size of the recorded body."""
        outcome = self.record.outcome
        return len(outcome.body or b"") if outcome else 0


@define
class OutcomeWriter:
    """Writes the final records of claims; failed writes are retried only while run is active."""

    store_calls: StoreCallLimiter
    max_pending: int = MAX_PENDING_WRITES
    max_pending_bytes: int = MAX_PENDING_BYTES
    pending: dict[str, PendingWrite] = field(factory=dict)
    added: ChangeSignal = field(factory=ChangeSignal)
    removed: ChangeSignal = field(factory=ChangeSignal)
    dropped: int = 0

    async def write(self, object_key: str, record: ClaimRecord, version: int) -> None:
        """Try to write a record within a short timeout; on failure, enqueue it for retry."""
        write = PendingWrite(object_key, record, version)
        written = False
        with trio.move_on_after(OUTCOME_WRITE_TIMEOUT_S):
            written = await self._attempt_write(write)
        if not written:
            self.enqueue(write)

    def enqueue_release(self, object_key: str, record: ClaimRecord) -> None:
        """Enqueue a write that marks a claim with an unknown write result as not sent."""
        released = evolve(record, state=ClaimState.NOT_SENT)
        self.enqueue(PendingWrite(object_key, released, None))

    def enqueue(self, write: PendingWrite) -> None:
        """Queue a write for retry; if the queue is full, drop it and leave the claim as is."""
        pending_bytes = sum(item.size_bytes for item in self.pending.values())
        is_full = len(self.pending) >= self.max_pending
        if is_full or pending_bytes + write.size_bytes > self.max_pending_bytes:
            self.dropped += 1
            log_event("outcome_dropped", object=write.object_key, state=write.record.state.value)
            return
        self.pending[write.object_key] = write
        self.added.notify()

    async def run(self) -> None:
        """Retry failed writes with exponential backoff until they succeed or are superseded."""
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            if not self.pending:
                await self.added.wait()
            progress = False
            for write in tuple(self.pending.values()):
                if await self._attempt_write(write):
                    self._remove(write)
                    progress = True
            delay_s = INITIAL_RETRY_DELAY_S if progress else min(MAX_RETRY_DELAY_S, delay_s * 2)
            await trio.sleep(delay_s)

    async def drain(self, timeout_s: float) -> bool:
        """Wait until no write is pending; return whether that was so before the timeout."""
        with trio.move_on_after(timeout_s):
            while self.pending:
                await self.removed.wait()
        return not self.pending

    def _remove(self, write: PendingWrite) -> None:
        if self.pending.get(write.object_key) is write:
            del self.pending[write.object_key]
            self.removed.notify()

    async def _attempt_write(self, write: PendingWrite) -> bool:
        """Attempt one write and return whether it needs no further attempt."""
        if write.base_version is None:
            return await self._attempt_release(write)
        value = encode_claim(write.record)
        put = await self.store_calls.run(
            lambda s: s.put(write.object_key, value, write.base_version)
        )
        if isinstance(put, Ok):
            return True
        read = await self.store_calls.run(lambda s: s.get(write.object_key))
        if isinstance(read, Err):
            return False
        if self._is_written(write, read.ok_value):
            return True
        if isinstance(put.err_value, VersionConflict):
            log_event("outcome_superseded", object=write.object_key)
            return True
        return False

    async def _attempt_release(self, write: PendingWrite) -> bool:
        """Replace the claim with ``not_sent`` and return whether no further attempt is needed.

        The replacement also makes a delayed put of the claim conflict.
        """
        read = await self.store_calls.run(lambda s: s.get(write.object_key))
        if isinstance(read, Err):
            return False
        stored = read.ok_value
        if stored is not None and not self._may_release(write, stored):
            return True
        version = 0 if stored is None else stored.version
        value = encode_claim(write.record)
        put = await self.store_calls.run(lambda s: s.put(write.object_key, value, version))
        return isinstance(put, Ok)

    @staticmethod
    def _may_release(write: PendingWrite, stored: StoredObject) -> bool:
        """Return whether the stored record is the claim to release or one marked as not sent."""
        decoded = decode_claim(stored.value)
        if isinstance(decoded, Err):
            return False
        record = decoded.ok_value
        if record.mark == write.record.mark:
            return record.state is ClaimState.CLAIMED
        return record.state is ClaimState.NOT_SENT

    @staticmethod
    def _is_written(write: PendingWrite, stored: StoredObject | None) -> bool:
        decoded = decode_claim(stored.value) if stored is not None else None
        if decoded is None or isinstance(decoded, Err):
            return False
        record = decoded.ok_value
        return record.mark == write.record.mark and record.state is write.record.state
