"""Hold log lines until a task writes them, so that no event waits for a reader."""

from collections import deque
from collections.abc import Callable

import trio
from attrs import define, field

# A line waits at most this long for the next write, which takes many lines at once.
FLUSH_INTERVAL_S = 0.1
# More lines between two writes are dropped and counted: 10,000 lines a second at the most.
MAX_WAITING_LINES = 1_000


@define
class LineQueue:
    """Take lines at any time and write them in batches from a thread.

    A reader that stands still costs lines, not time: while a write waits for it, the queue fills.

    Attributes:
        write: Writes bytes and may block.
        tell_dropped: Logs how many lines were dropped.
        dropped: Lines that found the queue full since the last write.
    """

    write: Callable[[bytes], object]
    tell_dropped: Callable[[int], None]
    lines: deque[str] = field(factory=deque)
    dropped: int = 0

    def add(self, line: str) -> None:
        """Take one line without its end; a full queue drops it."""
        if len(self.lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self.lines.append(line)

    def take(self) -> bytes:
        """Return what waits; what was dropped is told in the next lines."""
        data = "".join(f"{line}\n" for line in self.lines).encode()
        self.lines.clear()
        dropped, self.dropped = self.dropped, 0
        if dropped:
            self.tell_dropped(dropped)
        return data

    async def run(self) -> None:
        """Write what waits until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            data = self.take()
            if data:
                await trio.to_thread.run_sync(self.write, data, abandon_on_cancel=True)
