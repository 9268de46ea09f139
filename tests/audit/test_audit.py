"""Test writing and reading of the audit trail."""

import trio
from attrs import evolve

from wagtailbay.audit import AuditReader, AuditRecord, AuditWriter
from wagtailbay.audit.wire import decode_record, encode_record
from wagtailbay_bench.memory_store import MemoryStore

NOON_UNIX_S = 1_796_385_600.0
RECORD = AuditRecord(
    "0" * 8, NOON_UNIX_S, "ana", "document.submit", "documents/records", 1, 2, "why", "accepted"
)


def make_record(number: int, when_unix_s: float = NOON_UNIX_S) -> AuditRecord:
    """Return a record with its own id and time."""
    return evolve(RECORD, record_id=f"{number:08d}", when_unix_s=when_unix_s)


class TestAuditWriter:
    """Every record is written once, or counted as lost."""

    async def test_records_are_written_after_outage(self, nursery, autojump_clock) -> None:
        """Guards against dropping records during an outage of the store."""
        store = MemoryStore(down=True)
        writer = AuditWriter(store)
        nursery.start_soon(writer.run)
        writer.enqueue(make_record(1))
        await trio.sleep(60)
        assert (writer.written, len(writer.queue)) == (0, 1)
        store.down = False
        await writer.flush(timeout_s=20)
        assert (writer.written, writer.lost, len(store.objects)) == (1, 0, 1)

    async def test_lost_response_writes_record_once(self, nursery, autojump_clock) -> None:
        """Guards against writing a record twice when the response to the write is lost."""
        store = MemoryStore(lose_answers=1)
        writer = AuditWriter(store)
        nursery.start_soon(writer.run)
        writer.enqueue(make_record(1))
        await writer.flush()
        assert (writer.written, len(store.objects)) == (1, 1)

    async def test_record_beyond_full_queue_is_counted(self) -> None:
        """Guards against dropping records without counting them when the queue is full."""
        lost_calls = []
        writer = AuditWriter(MemoryStore(), lambda: lost_calls.append(1), max_queued=2)
        for number in range(3):
            writer.enqueue(make_record(number))
        assert (writer.lost, len(lost_calls), len(writer.queue)) == (1, 1, 2)

    async def test_flush_timeout_counts_unwritten_records(self, nursery, autojump_clock) -> None:
        """Guards against a shutdown during an outage that does not count unwritten records."""
        writer = AuditWriter(MemoryStore(down=True))
        nursery.start_soon(writer.run)
        writer.enqueue(make_record(1))
        await writer.flush(timeout_s=1)
        assert (writer.lost, writer.queue) == (1, [])


class TestAuditReader:
    """The pages contain every record exactly once, newest first."""

    async def test_pages_cover_all_days(self) -> None:
        """Guards against skipping or repeating records at a page boundary."""
        store = MemoryStore()
        for number in range(25):
            stored = make_record(number, NOON_UNIX_S - number * 40_000)
            writer = AuditWriter(store)
            await writer._write(stored)
        seen, before = [], None
        for _ in range(20):
            page = (await AuditReader(store).read(4, before, NOON_UNIX_S)).unwrap()
            seen.extend(int(found.record_id) for found in page.records)
            before = page.before
            if len(seen) == 25 and not page.records:
                break
        assert seen == list(range(25))

    async def test_pages_across_empty_days_skip_no_record(self) -> None:
        """Guards against skipping the day on which the previous page ended."""
        store = MemoryStore()
        for number, days in enumerate((0, 31, 62)):
            await AuditWriter(store)._write(make_record(number, NOON_UNIX_S - days * 86_400))
        seen, before = [], None
        for _ in range(3):
            page = (await AuditReader(store).read(4, before, NOON_UNIX_S)).unwrap()
            seen.append([int(found.record_id) for found in page.records])
            before = page.before
        assert seen == [[0], [1], [2]]

    async def test_invalid_position_is_rejected(self) -> None:
        """Guards against an exception for a malformed position."""
        answer = await AuditReader(MemoryStore()).read(4, "yesterday", NOON_UNIX_S)
        assert "expected a position" in answer.err_value

    def test_undecodable_record_is_skipped(self) -> None:
        """Guards against one undecodable record that makes the whole page fail."""
        assert decode_record({"who": 3}) is None
        assert decode_record(encode_record(RECORD) | {"later": 1}) == RECORD
