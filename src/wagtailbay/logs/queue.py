"""Queue of log lines, so that a slow reader of the log does not block the program."""

from collections import Counter, deque
from collections.abc import Callable

import trio
from attrs import define, field

# Lines are written in batches at this interval to save system calls.
FLUSH_INTERVAL_S = 0.1
# Further lines between two writes are dropped and counted; this allows 10,000 lines/s.
MAX_QUEUED_LINES = 1_000
# Keeps room for other events while one event, such as a refusal, is logged at a high rate.
MAX_QUEUED_LINES_PER_EVENT = 800


@define
class LineQueue:
    """Queues log lines without blocking and writes them in batches from a thread.

    While a stalled reader blocks a write, the queue fills up and further lines are dropped.

    Attributes:
        write: Writes bytes; may block, since it runs in a thread.
        report_dropped: Logs the number of dropped lines of an event.
        queued_by_event: Number of queued lines by event.
        dropped_by_event: Number of lines dropped since the last write, by event.
    """

    write: Callable[[bytes], object]
    report_dropped: Callable[[str, int], None]
    lines: deque[str] = field(factory=deque)
    queued_by_event: Counter[str] = field(factory=Counter)
    dropped_by_event: Counter[str] = field(factory=Counter)

    def add(self, event: str, make_line: Callable[[], str]) -> None:
        """Queue a line without its line end; if the queue is full, drop it without formatting."""
        if (
            len(self.lines) >= MAX_QUEUED_LINES
            or self.queued_by_event[event] >= MAX_QUEUED_LINES_PER_EVENT
        ):
            self.dropped_by_event[event] += 1
            return
        self.queued_by_event[event] += 1
        self.lines.append(make_line())

    def drain(self) -> bytes:
        """Remove and return all queued lines; dropped ones are reported in the next lines."""
        data = "".join(f"{line}\n" for line in self.lines).encode()
        self.lines.clear()
        self.queued_by_event.clear()
        dropped_by_event, self.dropped_by_event = self.dropped_by_event, Counter()
        for event, count in dropped_by_event.items():
            self.report_dropped(event, count)
        return data

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            data = self.drain()
            if data:
                await trio.to_thread.run_sync(self.write, data, abandon_on_cancel=True)
