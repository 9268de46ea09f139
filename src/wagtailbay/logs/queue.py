"""Hold log lines until a task writes them, so that no event waits for a reader."""

from collections import Counter, deque
from collections.abc import Callable

import trio
from attrs import define, field

# A line waits at most this long for the next write, which takes many lines at once.
FLUSH_INTERVAL_S = 0.1
# More lines between two writes are dropped and counted: 10,000 lines a second at the most.
MAX_QUEUED_LINES = 1_000
# One event in a flood, such as a refusal, leaves room for the lines of all others.
MAX_QUEUED_LINES_PER_EVENT = 800


@define
class LineQueue:
    """Take lines at any time and write them in batches from a thread.

    A reader that stands still costs lines, not time: while a write waits for it, the queue fills.

    Attributes:
        write: Writes bytes and may block.
        report_dropped: Logs how many lines of an event were dropped.
        queued_by_event: Lines in the queue by event.
        dropped_by_event: Lines that found no room since the last write, by event.
    """

    write: Callable[[bytes], object]
    report_dropped: Callable[[str, int], None]
    lines: deque[str] = field(factory=deque)
    queued_by_event: Counter[str] = field(factory=Counter)
    dropped_by_event: Counter[str] = field(factory=Counter)

    def add(self, event: str, make_line: Callable[[], str]) -> None:
        """Take one line without its end; one that finds no room is not even formatted."""
        if (
            len(self.lines) >= MAX_QUEUED_LINES
            or self.queued_by_event[event] >= MAX_QUEUED_LINES_PER_EVENT
        ):
            self.dropped_by_event[event] += 1
            return
        self.queued_by_event[event] += 1
        self.lines.append(make_line())

    def drain(self) -> bytes:
        """Return what waits; what was dropped is told in the next lines."""
        data = "".join(f"{line}\n" for line in self.lines).encode()
        self.lines.clear()
        self.queued_by_event.clear()
        dropped_by_event, self.dropped_by_event = self.dropped_by_event, Counter()
        for event, count in dropped_by_event.items():
            self.report_dropped(event, count)
        return data

    async def run(self) -> None:
        """Write what waits until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            data = self.drain()
            if data:
                await trio.to_thread.run_sync(self.write, data, abandon_on_cancel=True)
