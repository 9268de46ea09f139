"""Keep the crash counts of the fleet in the store, so that they outlive its processes."""

import random
from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.membership.selection import writer_position
from wagtailbay.quarantine.const import (
    CLEANUP_DELAY_S,
    COLLECT_CRASHES_S,
    CRASH_RECORDS_KEY,
    MAX_WRITE_DELAY_S,
    RECORD_INTERVAL_S,
    WRITER_STAGGER_S,
)
from wagtailbay.quarantine.records import CrashRecord, decode_records, encode_records
from wagtailbay.quarantine.table import CrashTable
from wagtailbay.replica import Replica
from wagtailbay.store import ObjectStore, StoredObject, VersionConflict


@define
class CrashRecorder:
    """Writes the crash counts that the store lacks, and applies those that it has.

    One object has the counts of the whole fleet. VMs write it in rendezvous order, each one
    WRITER_STAGGER_S after the previous one, so usually one write follows each crash. Whatever the
    store loses is written again by any VM that still knows it.

    Attributes:
        live_vms: Returns the names of all live VMs, including this one.
        stored: Records of the store as far as this VM knows, by fingerprint.
        stored_version: Version of the object that has them, or of its deletion.
        exists: Whether the store has that object.
        write_due_s: When this VM may write; None if the store lacks nothing.
    """

    vm: str
    crashes: CrashTable
    store: ObjectStore
    replica: Replica
    live_vms: Callable[[], list[str]]
    clock: Callable[[], float]
    unix_clock: Callable[[], float]
    rng: random.Random
    stored: dict[str, CrashRecord] = field(factory=dict)
    stored_version: int = 0
    exists: bool = False
    write_due_s: float | None = None

    async def run(self) -> None:
        """Write the counts that the store lacks until cancelled."""
        while True:
            await self.write_if_due(self.clock())
            with trio.move_on_after(RECORD_INTERVAL_S):
                await self.crashes.facts.changed.wait()
            # Crashes that end several requests, and those seen by several VMs, share a write.
            await trio.sleep(COLLECT_CRASHES_S)

    def apply_replica(self, now_s: float) -> None:
        """Apply the records in the replica if they are newer than the known ones."""
        stored = self.replica.objects.get(CRASH_RECORDS_KEY)
        if stored is not None and stored.version > self.stored_version:
            self._apply(stored, now_s)

    def _apply(self, stored: StoredObject, now_s: float) -> None:
        self.stored = {} if stored.value is None else decode_records(stored.value)
        self.stored_version, self.exists = stored.version, stored.value is not None
        self.crashes.apply_stored(self.stored, now_s, self._unix_ms())
        log_event("crashes_known", requests=len(self.stored), revision=stored.version)

    async def write_if_due(self, now_s: float) -> None:
        """Write the counts of the fleet if the store lacks some and it is this VM's turn."""
        records = self.crashes.records(now_s, self._unix_ms())
        if not self._differs(records):
            self.write_due_s = None
            return
        delay_s = self._write_delay_s()
        if not self._lacks(records):
            delay_s += CLEANUP_DELAY_S
        if self.write_due_s is None or now_s + delay_s < self.write_due_s:
            self.write_due_s = now_s + delay_s
        if now_s >= self.write_due_s:
            await self._write(records, now_s)

    def _lacks(self, records: dict[str, CrashRecord]) -> bool:
        """Return whether the store lacks a crash."""
        return any(
            fingerprint not in self.stored or self.stored[fingerprint].targets != record.targets
            for fingerprint, record in records.items()
        )

    def _differs(self, records: dict[str, CrashRecord]) -> bool:
        """Return whether the store lacks a crash or has one that no longer counts."""
        return self._lacks(records) or bool(self.stored.keys() - records.keys())

    def _write_delay_s(self) -> float:
        position = writer_position(CRASH_RECORDS_KEY, self.vm, self.live_vms())
        return min(MAX_WRITE_DELAY_S, position * WRITER_STAGGER_S)

    async def _write(self, records: dict[str, CrashRecord], now_s: float) -> None:
        version = self.stored_version if self.exists else 0
        match await self.store.put(CRASH_RECORDS_KEY, encode_records(records), version):
            case Ok(new_version):
                self.stored, self.stored_version, self.exists = records, new_version, True
                self.write_due_s = None
                log_event("crashes_stored", requests=len(records), revision=new_version)
                return
            case Err(VersionConflict()):
                await self._read(now_s)
            case Err(error):
                log_event("crashes_not_stored", reason=str(error)[:200])
        self.write_due_s = now_s + WRITER_STAGGER_S * self.rng.uniform(0.5, 1.0)

    async def _read(self, now_s: float) -> None:
        """Read the object after another VM has written it."""
        match await self.store.get(CRASH_RECORDS_KEY):
            case Ok(None):
                self.stored, self.exists = {}, False
            case Ok(stored):
                self._apply(stored, now_s)
            case Err(error):
                log_event("crashes_not_read", reason=error.message[:200])

    def _unix_ms(self) -> int:
        return round(self.unix_clock() * 1000)
