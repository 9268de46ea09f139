"""Acquire, renew and release the lease on the control-plane duties."""

import uuid
from collections.abc import Callable

import trio
from attrs import define, evolve
from result import Err, Ok

from wagtailbay.lease.const import (
    LEASE_DURATION_S,
    LEASE_KEY,
    MAX_CANDIDATES,
    MAX_COUNTED_TICK_S,
    MAX_REPLICA_AGE_MS,
    RANK_DELAY_S,
    RENEW_DEADLINE_S,
    RENEW_INTERVAL_S,
    TICK_INTERVAL_S,
)
from wagtailbay.lease.models import LeaseRecord, parse_record
from wagtailbay.logs import log_event
from wagtailbay.membership import VmIdentity
from wagtailbay.store import (
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)


@define
class LeaseManager:
    """Leader election through the lease object, from the side of one VM.

    The lease only avoids duplicate work. Correctness doesn't depend on it, because every write of
    the control-plane duties is conditional on the version of the object.

    Attributes:
        stored: Returns the lease object from this VM's replica.
        confirmed_age_ms: Returns the age of the replica, or None if it is unknown.
        rank: Returns this VM's zero-based rank among the candidates, or None if it may not be one.
        new_mark: Returns a unique mark for the next write.
        held_until_s: When the lease of this VM expires, counted from its last write.
        version: Object version of this VM's last write.
        record: Record of this VM's last write.
        observed_version: Object version last seen in the replica.
        unchanged_s: How long that version was seen unchanged while the store was reachable.
    """

    store: ObjectStore
    identity: VmIdentity
    stored: Callable[[], StoredObject | None]
    confirmed_age_ms: Callable[[float], float | None]
    rank: Callable[[float], int | None]
    clock: Callable[[], float]
    new_mark: Callable[[], str] = lambda: uuid.uuid4().hex
    held_until_s: float = float("-inf")
    version: int = 0
    record: LeaseRecord | None = None
    observed_version: int = 0
    unchanged_s: float = 0.0
    last_tick_s: float | None = None
    renew_at_s: float = 0.0
    resigned: bool = False

    def is_holder(self, now_s: float) -> bool:
        """Return whether this VM holds the lease now; check again after every await."""
        return not self.resigned and now_s < self.held_until_s

    @property
    def term(self) -> int:
        """Return the term in which this VM last held the lease, 0 if it never did."""
        return self.record.term if self.record else 0

    def holder(self) -> str | None:
        """Return the holder according to the replica, None if there is none."""
        stored = self.stored()
        record = parse_record(stored.value) if stored else None
        return None if record is None or record.released else record.vm

    async def run(self) -> None:
        """Renew the lease or try to acquire it until cancelled."""
        while True:
            await self.tick()
            await trio.sleep(TICK_INTERVAL_S)

    async def tick(self) -> None:
        """Renew the lease when renewal is due, or acquire it when that is allowed."""
        now_s = self.clock()
        self._observe(now_s)
        if self.resigned:
            return
        if self.is_holder(now_s):
            if now_s >= self.renew_at_s:
                self.renew_at_s = now_s + RENEW_INTERVAL_S
                await self._write(evolve(self.record, mark=self.new_mark()), self.version)
            return
        if self._may_acquire(now_s):
            await self._acquire()

    def _observe(self, now_s: float) -> None:
        """Update how long the lease has been seen unchanged."""
        elapsed_s = 0.0 if self.last_tick_s is None else now_s - self.last_tick_s
        self.last_tick_s = now_s
        stored = self.stored()
        version = stored.version if stored else 0
        if version != self.observed_version:
            self.observed_version, self.unchanged_s = version, 0.0
            return
        age_ms = self.confirmed_age_ms(now_s)
        if age_ms is not None and age_ms <= MAX_REPLICA_AGE_MS:
            self.unchanged_s += min(elapsed_s, MAX_COUNTED_TICK_S)

    def _may_acquire(self, now_s: float) -> bool:
        rank = self.rank(now_s)
        age_ms = self.confirmed_age_ms(now_s)
        if rank is None or age_ms is None or age_ms > MAX_REPLICA_AGE_MS:
            return False
        stored = self.stored()
        record = parse_record(stored.value) if stored else None
        if record is not None and self._is_own(record):
            # This VM failed to renew in time, and nobody has acquired the lease since.
            return True
        available = (
            stored is None or stored.value is None or (record is not None and record.released)
        )
        needed_s = (0.0 if available else LEASE_DURATION_S) + RANK_DELAY_S * rank
        return rank < MAX_CANDIDATES and self.unchanged_s >= needed_s

    def _is_own(self, record: LeaseRecord) -> bool:
        own_run = (self.identity.vm, self.identity.incarnation)
        return (record.vm, record.incarnation) == own_run and not record.released

    async def _acquire(self) -> None:
        stored = self.stored()
        found = parse_record(stored.value) if stored else None
        exists = stored is not None and stored.value is not None
        term = max(found.term if found else 0, self.term) + 1
        identity = self.identity
        record = LeaseRecord(identity.vm, identity.incarnation, term, self.new_mark())
        if await self._write(record, stored.version if exists else 0):
            log_event("lease_taken", term=term)
        self.unchanged_s = 0.0

    async def _write(self, record: LeaseRecord, expected_version: int) -> bool:
        """Write the record; return whether this VM holds the lease afterwards."""
        sent_s = self.clock()
        match await self.store.put(LEASE_KEY, record.as_json(), expected_version):
            case Ok(version):
                return self._record_hold(record, version, sent_s)
            case Err(StoreUnavailable() as error):
                self.renew_at_s = self.clock() + TICK_INTERVAL_S
                log_event("lease_not_written", reason=error.message)
                return False
            case Err(VersionConflict() | OutcomeUnknown()):
                return await self._resolve_write(record, sent_s)

    async def _resolve_write(self, record: LeaseRecord, sent_s: float) -> bool:
        """Read the object to resolve a write with a lost answer or a version conflict.

        The lease counts from when the write was sent: the other VMs count from when it took
        effect, which may have been long before the read is answered.
        """
        match await self.store.get(LEASE_KEY):
            case Ok(stored):
                found = parse_record(stored.value) if stored else None
            case Err(_):
                self.renew_at_s = self.clock() + TICK_INTERVAL_S
                return False
        if found is not None and found == record:
            return self._record_hold(record, stored.version, sent_s)
        self._adopt_or_yield(found, stored)
        return False

    def _record_hold(self, record: LeaseRecord, version: int, sent_s: float) -> bool:
        self.record, self.version = record, version
        self.held_until_s = sent_s + RENEW_DEADLINE_S
        self.renew_at_s = sent_s + RENEW_INTERVAL_S
        return True

    def _adopt_or_yield(self, found: LeaseRecord | None, stored: StoredObject | None) -> None:
        """Adopt an earlier write of this process, or yield the lease to another VM."""
        if found is not None and self._is_own(found):
            self.record, self.version = found, stored.version
            self.renew_at_s = self.clock()
            return
        if self.is_holder(self.clock()):
            log_event("lease_lost", holder=found.vm if found else "")
        self.held_until_s = float("-inf")

    async def release(self) -> None:
        """Give up the lease and mark it as released, so that others acquire it at once."""
        held = self.is_holder(self.clock())
        self.resigned = True
        if held:
            record = evolve(self.record, mark=self.new_mark(), released=True)
            written = await self.store.put(LEASE_KEY, record.as_json(), self.version)
            log_event("lease_released", confirmed=isinstance(written, Ok))
