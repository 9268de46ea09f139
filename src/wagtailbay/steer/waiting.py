"""Let requests wait for a free target or for budget, in turn by workspace."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio
from attrs import define, field

from wagtailbay.steer.const import WAIT_TICK_S


@define
class WaitingRoom:
    """Hold the waiting requests of one service.

    One request is woken at a time, taking workspaces in turn, so a workspace with many waiting
    requests does not delay the others.

    Attributes:
        in_turn: Test-only switch; False wakes requests in order of arrival.
        visitors: Requests that wait or have just been woken to try again.
    """

    in_turn: bool = True
    queues: dict[str, deque[trio.Event]] = field(factory=dict)
    visitors: int = 0
    stop_following: Callable[[], None] = lambda: None

    @contextmanager
    def visit(self, follow: Callable[[], Callable[[], None]]) -> Iterator[None]:
        """Follow what may end the waits, once for all requests that are trying again.

        Args:
            follow: Starts it and returns how to end it.
        """
        self.visitors += 1
        if self.visitors == 1:
            self.stop_following = follow()
        try:
            yield
        finally:
            self.visitors -= 1
            if not self.visitors:
                self.stop_following()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self.queues.values()))

    async def wait(
        self, workspace: str, until_s: float, now_s: float, tick_s: float = WAIT_TICK_S
    ) -> None:
        """Wait for this request's turn, at most until a time on the caller's clock.

        Args:
            tick_s: After this time the next request is woken even if nothing was announced.
        """
        event = trio.Event()
        queue = self.queues.setdefault(workspace if self.in_turn else "", deque())
        queue.append(event)
        end = trio.current_time() + max(0.0, until_s - now_s)
        try:
            while not event.is_set() and trio.current_time() < end:
                with trio.move_on_at(min(end, trio.current_time() + tick_s)):
                    await event.wait()
                    return
                self.wake_next()
        finally:
            self._leave(queue, event, workspace if self.in_turn else "")

    def _leave(self, queue: deque[trio.Event], event: trio.Event, name: str) -> None:
        if event in queue:
            queue.remove(event)
        if not queue and self.queues.get(name) is queue:
            del self.queues[name]

    def wake_next(self) -> None:
        """Wake the first request of the workspace whose turn it is."""
        for name in tuple(self.queues):
            queue = self.queues.pop(name)
            if queue:
                queue.popleft().set()
                if queue:
                    # Goes to the end, behind the other workspaces.
                    self.queues[name] = queue
                return
