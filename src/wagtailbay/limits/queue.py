"""Let requests wait shortly for tokens, in a fair order."""

from collections import OrderedDict, deque
from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.limits.const import BORROW_AGAIN_S, MAX_WAIT_MS, MAX_WAITING, MIN_SLEEP_S
from wagtailbay.limits.models import TokenAccount


@define(eq=False)
class _Turn:
    workspace: str
    amount: float
    reached: trio.Event = field(factory=trio.Event)


@define
class FairQueue:
    """Serve the requests that wait for one account round robin by workspace.

    The request at the front sleeps until its tokens are due or the account changes; the others
    wait for their turn. Each leaves at its own deadline.
    """

    clock: Callable[[], float]
    max_wait_ms: int = MAX_WAIT_MS
    max_waiting: int = MAX_WAITING
    turns: OrderedDict[str, deque[_Turn]] = field(factory=OrderedDict)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(turns) for turns in self.turns.values())

    async def take(self, account: TokenAccount, workspace: str, amount: float = 1.0) -> bool:
        """Take tokens, waiting for them where they can come in time."""
        if not self.turns and account.take(amount, self.clock()):
            return True
        if not self._worthwhile(account, amount):
            return False
        turn = self._join(workspace, amount)
        account.waiting = self._wanted()
        try:
            with trio.move_on_after(self.max_wait_ms / 1000):
                while self._front() is not turn:
                    await turn.reached.wait()
                return await self._take_when_due(account, amount)
            return False
        finally:
            self._leave(turn)
            account.waiting = self._wanted()

    def _worthwhile(self, account: TokenAccount, amount: float) -> bool:
        """Tell whether the tokens can come in time behind those who wait already."""
        now_s = self.clock()
        waiting = self.waiting
        if waiting >= self.max_waiting:
            return False
        may_borrow = account.may_borrow(amount, now_s)
        ahead_s = account.wait_s(amount, now_s)
        if waiting:
            each_s = account.wait_s(amount + max(0.0, account.level(now_s)), now_s)
            ahead_s += waiting * each_s
        return ahead_s <= self.max_wait_ms / 1000 or may_borrow

    async def _take_when_due(self, account: TokenAccount, amount: float) -> bool:
        while not account.take(amount, self.clock()):
            due_s = max(MIN_SLEEP_S, account.wait_s(amount, self.clock()))
            with trio.move_on_after(min(due_s, BORROW_AGAIN_S)):
                await account.changed.wait()
        return True

    def _wanted(self) -> float:
        return sum(turn.amount for turns in self.turns.values() for turn in turns)

    def _join(self, workspace: str, amount: float) -> _Turn:
        turn = _Turn(workspace, amount)
        self.turns.setdefault(workspace, deque()).append(turn)
        return turn

    def _front(self) -> _Turn | None:
        return next(iter(self.turns.values()))[0] if self.turns else None

    def _leave(self, turn: _Turn) -> None:
        """Remove a turn; after the front's, the next workspace has its turn."""
        was_front = self._front() is turn
        turns = self.turns[turn.workspace]
        turns.remove(turn)
        if not turns:
            del self.turns[turn.workspace]
        elif was_front:
            self.turns.move_to_end(turn.workspace)
        front = self._front()
        if front is not None:
            front.reached.set()
