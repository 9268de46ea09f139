"""Test the queue of log lines."""

import threading

import trio

from wagtailbay.logs import LineQueue
from wagtailbay.logs.queue import MAX_WAITING_LINES


class TestLineQueue:
    """Write lines without waiting for the reader."""

    async def test_lines_are_written_in_batches(self, nursery):
        """Guards against a system call for each line."""
        written = []
        queue = LineQueue(written.append, lambda count: None)
        nursery.start_soon(queue.run)
        for number in range(50):
            queue.add(f"line {number}")
        with trio.fail_after(30):
            while not written:
                await trio.sleep(0.01)
        assert written[0].decode().splitlines() == [f"line {number}" for number in range(50)]

    async def test_stalled_reader_costs_lines_and_not_time(self, nursery):
        """Guards against requests that wait for whoever reads the log."""
        stalled = threading.Event()
        told = []
        queue = LineQueue(lambda data: stalled.wait(10), told.append)
        nursery.start_soon(queue.run)
        queue.add("first")
        await trio.sleep(0.3)
        for number in range(MAX_WAITING_LINES + 7):
            queue.add(f"line {number}")
        assert queue.dropped == 7
        queue.take()
        assert told == [7]
        stalled.set()
