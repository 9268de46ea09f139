"""Test the deletion of expired audit records."""

from attrs import evolve

from wagtailbay.audit import AuditRecord, AuditSweeper, AuditWriter
from wagtailbay.audit.const import RETENTION_SEARCH_DAYS
from wagtailbay.audit.wire import audit_key, encode_record
from wagtailbay_bench.memory_store import MemoryStore

DAY_S = 86_400.0
NOW_UNIX_S = 1_796_385_600.0
RECORD = AuditRecord(
    "0" * 8, NOW_UNIX_S, "ana", "document.submit", "documents/records", 1, 2, "why", "accepted"
)


async def sweep_all_days(
    *ages_days: float, retention_days: int = 30
) -> tuple[list[float], list[str]]:
    """Sweep all days; return the ages in days of the kept records and the audited details."""
    store = MemoryStore()
    keys = {}
    for number, age_days in enumerate(ages_days):
        when_unix_s = NOW_UNIX_S - age_days * DAY_S
        record = evolve(RECORD, record_id=f"{number:08d}", when_unix_s=when_unix_s)
        keys[audit_key(record)] = age_days
        await store.put(audit_key(record), encode_record(record), 0)
    writer = AuditWriter(store)
    sweeper = AuditSweeper(store, writer, retention_days, lambda: NOW_UNIX_S)
    for _ in range(RETENTION_SEARCH_DAYS):
        await sweeper.sweep_next_day(NOW_UNIX_S)
    kept = [age for key, age in keys.items() if store.version(key)]
    return kept, [record.detail for record in writer.queue]


class TestRetentionSweep:
    """Only expired records are deleted, and the deletion is audited."""

    async def test_only_expired_records_are_removed(self) -> None:
        """Guards against deleting records within the retention time."""
        kept, details = await sweep_all_days(0.0, 29.0, 30.4, 31.6, 31.6, 60.0)
        assert kept == [0.0, 29.0, 30.4]
        assert details == ["removed 2 records", "removed 1 records"]

    async def test_store_outage_removes_nothing(self) -> None:
        """Guards against a sweep that fails while the store is down."""
        store = MemoryStore(down=True)
        writer = AuditWriter(store)
        sweeper = AuditSweeper(store, writer, 30, lambda: NOW_UNIX_S)
        assert await sweeper.sweep_next_day(NOW_UNIX_S) == 0
        assert writer.queue == []

    async def test_zero_retention_keeps_all(self) -> None:
        """Guards against a retention of 0 days that deletes every record."""
        sweeper = AuditSweeper(MemoryStore(), AuditWriter(MemoryStore()), 0, lambda: 0.0)
        await sweeper.run()
        assert sweeper.store.calls == {}
