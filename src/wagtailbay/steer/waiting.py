"""Let requests wait for a free target or for budget, in turn by workspace."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio
from attrs import define, field

from wagtailbay.steer.const import WAIT_POLL_INTERVAL_S


@define
class WaitQueue:
    """Hold the waiting requests of one service.

    One request is woken at a time, taking workspaces in turn, so a workspace with many waiting
    requests does not delay the others. A round tries the first request of each workspace; it
    begins when a request has ended and at least every tick. Requests woken together would compete
    for what has come free regardless of their workspace.

    Attributes:
        in_turn: Test-only switch; False wakes requests in order of arrival.
        retrying: Requests that wait or have just been woken to try again.
        tried: The workspaces tried in this round.
        round_s: When the round began.
    """

    fair: bool = True
    queues: dict[str, deque[trio.Event]] = field(factory=dict)
    retrying: int = 0
    unsubscribe: Callable[[], None] = lambda: None

    @contextmanager
    def subscribed(self, subscribe: Callable[[], Callable[[], None]]) -> Iterator[None]:
        """Follow what may end the waits, once for all requests that are trying again.

        Args:
            follow: Starts it and returns how to end it.
        """
        self.retrying += 1
        if self.retrying == 1:
            self.unsubscribe = subscribe()
        try:
            yield
        finally:
            self.retrying -= 1
            if not self.retrying:
                self.unsubscribe()

    woken_workspaces: set[str] = field(factory=set)
    round_started_s: float = float("-inf")

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self.queues.values()))

    async def wait(
        self,
        workspace: str,
        deadline_s: float,
        now_s: float,
        poll_interval_s: float = WAIT_POLL_INTERVAL_S,
        requeue: bool = False,
    ) -> None:
        """Wait for this request's turn, at most until a time on the caller's clock.

        Args:
            workspace: Whose request waits.
            until_s: When to give up.
            now_s: The present time on the same clock.
            tick_s: After this time the next request is woken even if nothing was announced.
            again: Whether the request had its turn in vain; it keeps its place.
        """
        event = trio.Event()
        queue = self.queues.setdefault(workspace if self.fair else "", deque())
        if requeue:
            queue.appendleft(event)
            self._wake_next_workspace()
        else:
            queue.append(event)
        end_s = trio.current_time() + max(0.0, deadline_s - now_s)
        try:
            while not event.is_set() and trio.current_time() < end_s:
                with trio.move_on_at(min(end_s, trio.current_time() + poll_interval_s)):
                    await event.wait()
                    return
                # Requests that joined together have their ticks together; one round serves all.
                if trio.current_time() - self.round_started_s >= poll_interval_s / 2:
                    self.wake_next()
        finally:
            self._remove(queue, event, workspace if self.fair else "")

    def _remove(self, queue: deque[trio.Event], event: trio.Event, name: str) -> None:
        if event in queue:
            queue.remove(event)
        if not queue and self.queues.get(name) is queue:
            del self.queues[name]

    def wake_next(self) -> None:
        """Begin a round: wake the first request of the workspace whose turn it is."""
        self.woken_workspaces.clear()
        self.round_started_s = trio.current_time()
        self._wake_next_workspace()

    def _wake_next_workspace(self) -> None:
        for name in tuple(self.queues):
            if name in self.woken_workspaces:
                continue
            queue = self.queues.pop(name)
            if queue:
                self.woken_workspaces.add(name)
                queue.popleft().set()
                if queue:
                    # Goes to the end, behind the other workspaces.
                    self.queues[name] = queue
                return
