"""Responses that are ready before it is their turn on the connection."""

from collections import deque

import trio
from attrs import define, field

from wagtailbay.transport.body_budget import BodyBudget
from wagtailbay.transport.const import (
    MAX_HELD_BUDGET_FRACTION,
    MAX_HELD_RESPONSE_BYTES,
    MAX_UNCOUNTED_BODY_BYTES,
)
from wagtailbay.transport.models import Headers
from wagtailbay.transport.reply import Reply


@define(eq=False)
class HeldReply(Reply):
    """Response that is held in memory until all earlier ones on the connection are sent.

    The head is encoded only when it is sent, because whether the connection closes after this
    response is known only then. A response that exceeds the limits waits for its turn.

    Attributes:
        body_budget: Memory of which a response above ``MAX_UNCOUNTED_BODY_BYTES`` takes its part.
        turn: Set once everything held is sent; what follows is sent directly.
        releasing: Whether the turn has come, so that the response can't be withdrawn any more.
        held_head: Status, headers and framing that are held.
        held_chunks: Chunks of the body that are held.
        held_bytes: Size of these chunks.
        reserved_bytes: Part of the budget that they take.
        held_end: Whether the response is complete.
    """

    body_budget: BodyBudget = field(kw_only=True)
    turn: trio.Event = field(factory=trio.Event)
    releasing: bool = False
    held_head: tuple[int, Headers, bool] | None = None
    held_chunks: deque[bytes] = field(factory=deque)
    held_bytes: int = 0
    reserved_bytes: int = 0
    held_end: bool = False

    async def start(self, status: int, headers: Headers, until_close: bool = False) -> None:
        """Hold the head of the response, or encode it if it is the response's turn."""
        if self.turn.is_set():
            await super().start(status, headers, until_close)
            return
        self.started = True
        self.held_head = (status, headers, until_close)

    async def send(self, data: bytes) -> None:
        """Hold a chunk of the body, or wait for the response's turn and send it."""
        if self.turn.is_set():
            await super().send(data)
        elif not self._hold(data):
            await self._wait_for_turn()
            await super().send(data)

    async def finish(self) -> None:
        """Complete the response, which is then sent without its handler."""
        if self.turn.is_set():
            await super().finish()
        else:
            self.held_end = True

    async def release(self) -> None:
        """Send what is held, in the response's turn."""
        self.releasing = True
        while self.held_head is not None or self.held_chunks:
            if self.held_head is not None:
                head, self.held_head = self.held_head, None
                await super().start(*head)
            if self.held_chunks:
                # The bytes stay counted until all are sent, since they wait for a slow caller.
                await super().send(self.held_chunks.popleft())
        self.turn.set()
        self._release_budget()
        if self.held_end:
            await super().finish()

    def discard(self) -> None:
        """Withdraw the response, none of which has been sent; another one may be started."""
        self.started = self.held_end = False
        self.held_head = None
        self.held_chunks.clear()
        self.held_bytes = 0
        self._release_budget()

    def _hold(self, data: bytes) -> bool:
        """Keep a chunk; return False if the limits don't allow it."""
        held_bytes = self.held_bytes + len(data)
        if held_bytes > MAX_HELD_RESPONSE_BYTES:
            return False
        if held_bytes > MAX_UNCOUNTED_BODY_BYTES:
            budget, added_bytes = self.body_budget, held_bytes - self.reserved_bytes
            if budget.held_bytes + added_bytes > MAX_HELD_BUDGET_FRACTION * budget.max_bytes:
                return False
            if not budget.try_reserve(added_bytes):
                return False
            self.reserved_bytes = held_bytes
        self.held_bytes = held_bytes
        self.held_chunks.append(data)
        return True

    async def _wait_for_turn(self) -> None:
        try:
            await self.turn.wait()
        except trio.Cancelled:
            # The handler's time is over before any byte was sent: it may still send an error.
            if not self.releasing:
                self.discard()
            raise

    def _release_budget(self) -> None:
        if self.reserved_bytes:
            self.body_budget.release(self.reserved_bytes)
            self.reserved_bytes = 0
