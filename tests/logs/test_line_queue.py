"""Test LineQueue."""

import threading

import trio

from wagtailbay.logs import LineQueue
from wagtailbay.logs.queue import MAX_QUEUED_LINES, MAX_QUEUED_LINES_PER_EVENT


class TestLineQueue:
    """Lines are queued without blocking and written in batches."""

    async def test_lines_are_written_in_batches(self, nursery):
        """Guards against a system call for each line."""
        written = []
        queue = LineQueue(written.append, lambda event, count: None)
        nursery.start_soon(queue.run)
        for number in range(50):
            queue.add("e", lambda number=number: f"line {number}")
        with trio.fail_after(30):
            while not written:
                await trio.sleep(0.01)
        assert written[0].decode().splitlines() == [f"line {number}" for number in range(50)]

    async def test_stalled_reader_drops_lines_without_blocking(self, nursery):
        """Guards against requests that are blocked by a stalled reader of the log."""
        reader_resumed = threading.Event()
        reported = []
        queue = LineQueue(
            lambda data: reader_resumed.wait(10), lambda *dropped: reported.append(dropped)
        )
        nursery.start_soon(queue.run)
        queue.add("e", lambda: "first")
        await trio.sleep(0.3)
        for number in range(MAX_QUEUED_LINES + 7):
            queue.add(f"e{number % 2}", lambda number=number: f"line {number}")
        assert queue.dropped_by_event.total() == 7
        queue.drain()
        assert sorted(reported) == [("e0", 4), ("e1", 3)]
        reader_resumed.set()

    def test_frequent_event_does_not_displace_other_events(self):
        """Guards against losing a state change among the log lines of many refusals."""
        reported, formatted = [], []
        queue = LineQueue(lambda data: None, lambda *dropped: reported.append(dropped))
        for number in range(3 * MAX_QUEUED_LINES):
            queue.add("request_refused", lambda number=number: formatted.append(number) or "line")
        queue.add("target_ejected", lambda: "ejected")
        assert len(formatted) == MAX_QUEUED_LINES_PER_EVENT, "a dropped line must not be formatted"
        assert "ejected" in queue.drain().decode()
        assert reported == [("request_refused", 3 * MAX_QUEUED_LINES - MAX_QUEUED_LINES_PER_EVENT)]
