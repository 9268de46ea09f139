"""Test the queue of log lines."""

import threading

import trio

from wagtailbay.logs import LineQueue
from wagtailbay.logs.queue import MAX_WAITING_LINES, MAX_WAITING_OF_EVENT


class TestLineQueue:
    """Write lines without waiting for the reader."""

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

    async def test_stalled_reader_costs_lines_and_not_time(self, nursery):
        """Guards against requests that wait for whoever reads the log."""
        stalled = threading.Event()
        told = []
        queue = LineQueue(lambda data: stalled.wait(10), lambda *dropped: told.append(dropped))
        nursery.start_soon(queue.run)
        queue.add("e", lambda: "first")
        await trio.sleep(0.3)
        for number in range(MAX_WAITING_LINES + 7):
            queue.add(f"e{number % 2}", lambda number=number: f"line {number}")
        assert queue.dropped.total() == 7
        queue.take()
        assert sorted(told) == [("e0", 4), ("e1", 3)]
        stalled.set()

    def test_a_flood_of_one_event_leaves_room_for_the_others(self):
        """Guards against a change of belief that is missing among the lines of refusals."""
        told, formatted = [], []
        queue = LineQueue(lambda data: None, lambda *dropped: told.append(dropped))
        for number in range(3 * MAX_WAITING_LINES):
            queue.add("request_refused", lambda number=number: formatted.append(number) or "line")
        queue.add("target_ejected", lambda: "ejected")
        assert len(formatted) == MAX_WAITING_OF_EVENT, "a dropped line costs no formatting"
        assert "ejected" in queue.take().decode()
        assert told == [("request_refused", 3 * MAX_WAITING_LINES - MAX_WAITING_OF_EVENT)]
