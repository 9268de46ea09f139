"""Queue requests that wait for a free target or for budget, fairly by workspace."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio
from attrs import define, field

from wagtailbay.steer.const import WAIT_POLL_INTERVAL_S


@define
class WaitQueue:
    """Waiting requests of one service, woken round-robin by workspace.

    One request is woken at a time, taking workspaces in turn, so a workspace with many waiting
    requests does not delay the others. Each round wakes the first request of each workspace. A
    round starts when a request ends, and at least once per poll interval. Requests woken together
    would compete for the freed capacity regardless of their workspace.

    Attributes:
        fair: Test-only switch; False wakes requests in order of arrival.
        queues: Waiting requests by workspace, the next workspace first.
        retrying: Number of requests that wait or were just woken to retry.
        unsubscribe: Ends the subscription to events that may end the waits.
        woken_workspaces: Workspaces already woken in the current round.
        round_started_s: Start time of the current round.
    """

    fair: bool = True
    queues: dict[str, deque[trio.Event]] = field(factory=dict)
    retrying: int = 0
    unsubscribe: Callable[[], None] = lambda: None

    @contextmanager
    def subscribed(self, subscribe: Callable[[], Callable[[], None]]) -> Iterator[None]:
        """Subscribe to events that may end the waits, once for all requests that retry.

        Args:
            subscribe: Starts the subscription and returns the unsubscriber.
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
        """Return the number of waiting requests."""
        return sum(map(len, self.queues.values()))

    async def wait(
        self,
        workspace: str,
        deadline_s: float,
        now_s: float,
        poll_interval_s: float = WAIT_POLL_INTERVAL_S,
        requeue: bool = False,
    ) -> None:
        """Wait until this request is woken, at most until the deadline.

        Args:
            workspace: Workspace of the request.
            deadline_s: Time on the caller's clock at which to stop waiting.
            now_s: Current time on the caller's clock.
            poll_interval_s: Interval at which the next request is woken without any event.
            requeue: Whether the request was woken but not assigned; it then goes to the front of
                its workspace's queue.
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
                # Requests that joined together time out together; one round serves them all.
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
        """Start a round and wake the first request of the next workspace."""
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
                    # Moves the workspace behind the others.
                    self.queues[name] = queue
                return
