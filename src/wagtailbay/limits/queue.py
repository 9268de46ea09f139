"""Bounded queue of requests that wait for tokens, fair between workspaces."""

from collections import OrderedDict, deque
from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.limits.const import (
    LOAN_RETRY_INTERVAL_S,
    MAX_QUEUED_REQUESTS,
    MAX_WAIT_MS,
    MIN_SLEEP_S,
)
from wagtailbay.limits.models import TokenAccount


@define(eq=False)
class _Waiter:
    workspace: str
    amount: float
    at_front: trio.Event = field(factory=trio.Event)


@define
class FairQueue:
    """Serves the requests that wait for one account, round robin by workspace.

    The request at the front waits for its tokens or a change of the account; the others wait until
    they reach the front. Each request gives up after max_wait_ms.

    Attributes:
        waiters: Queued requests of each workspace; the first workspace is served next.
    """

    clock: Callable[[], float]
    max_wait_ms: int = MAX_WAIT_MS
    max_queued_requests: int = MAX_QUEUED_REQUESTS
    waiters: OrderedDict[str, deque[_Waiter]] = field(factory=OrderedDict)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(waiters) for waiters in self.waiters.values())

    async def take(self, account: TokenAccount, workspace: str, amount: float = 1.0) -> bool:
        """Take tokens, waiting for them if they can become available in time."""
        if not self.waiters and account.take(amount, self.clock()):
            return True
        if not self._tokens_due_in_time(account, amount):
            return False
        waiter = self._enqueue(workspace, amount)
        account.waiting_tokens = self._waiting_tokens()
        try:
            with trio.move_on_after(self.max_wait_ms / 1000):
                while self._front_waiter() is not waiter:
                    await waiter.at_front.wait()
                return await self._take_when_due(account, amount)
            return False
        finally:
            self._dequeue(waiter)
            account.waiting_tokens = self._waiting_tokens()

    def _tokens_due_in_time(self, account: TokenAccount, amount: float) -> bool:
        """Return whether tokens can arrive in time, given the requests already queued."""
        now_s = self.clock()
        waiting = self.waiting
        if waiting >= self.max_queued_requests:
            return False
        may_borrow = account.may_borrow(amount, now_s)
        expected_wait_s = account.wait_s(amount, now_s)
        if waiting:
            wait_per_request_s = account.wait_s(amount + max(0.0, account.level(now_s)), now_s)
            expected_wait_s += waiting * wait_per_request_s
        return expected_wait_s <= self.max_wait_ms / 1000 or may_borrow

    async def _take_when_due(self, account: TokenAccount, amount: float) -> bool:
        while not account.take(amount, self.clock()):
            due_s = max(MIN_SLEEP_S, account.wait_s(amount, self.clock()))
            with trio.move_on_after(min(due_s, LOAN_RETRY_INTERVAL_S)):
                await account.changed.wait()
        return True

    def _waiting_tokens(self) -> float:
        return sum(waiter.amount for waiters in self.waiters.values() for waiter in waiters)

    def _enqueue(self, workspace: str, amount: float) -> _Waiter:
        waiter = _Waiter(workspace, amount)
        self.waiters.setdefault(workspace, deque()).append(waiter)
        return waiter

    def _front_waiter(self) -> _Waiter | None:
        return next(iter(self.waiters.values()))[0] if self.waiters else None

    def _dequeue(self, waiter: _Waiter) -> None:
        """Remove a request; if it was at the front, move its workspace to the back."""
        was_front = self._front_waiter() is waiter
        waiters = self.waiters[waiter.workspace]
        waiters.remove(waiter)
        if not waiters:
            del self.waiters[waiter.workspace]
        elif was_front:
            self.waiters.move_to_end(waiter.workspace)
        front = self._front_waiter()
        if front is not None:
            front.at_front.set()
