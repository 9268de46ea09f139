"""Bound the calls that claims and outcomes make to the store."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from attrs import define, field
from result import Err, Result

from wagtailbay.once.const import (
    MAX_HELD_BODY_BYTES,
    MAX_HELD_CLAIMS,
    MAX_STORE_CALLS,
    MAX_WAITING_CALLS,
    MAX_WATCHES,
    WATCH_TIMEOUT_MS,
)
from wagtailbay.store import ObjectStore, StoreUnavailable

T = TypeVar("T")
E = TypeVar("E")


@define
class StoreCalls:
    """Let a bounded number of calls run and wait; more are refused at once."""

    store: ObjectStore
    running: trio.CapacityLimiter = field(factory=lambda: trio.CapacityLimiter(MAX_STORE_CALLS))
    max_waiting: int = MAX_WAITING_CALLS
    watches: int = 0

    async def run(
        self, call: Callable[[ObjectStore], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreUnavailable]:
        """Make a call when a place is free."""
        if self.running.statistics().tasks_waiting >= self.max_waiting:
            return Err(StoreUnavailable("too many calls wait for the store"))
        async with self.running:
            return await call(self.store)

    async def wait_for_change(self, key: str, version: int, timeout_s: float) -> None:
        """Wait until an object may have changed after a version."""
        wait_s = min(timeout_s, WATCH_TIMEOUT_MS / 1000)
        if self.watches >= MAX_WATCHES:
            await trio.sleep(wait_s)
            return
        self.watches += 1
        try:
            with trio.move_on_after(wait_s):
                watched = await self.store.watch((key,), version, max(1, round(wait_s * 1000)))
                if isinstance(watched, Err):
                    await trio.sleep(wait_s)
        finally:
            self.watches -= 1


@define
class HeldMemory:
    """Bound the requests, and the bytes of their bodies, that wait for a claim."""

    max_claims: int = MAX_HELD_CLAIMS
    max_bytes: int = MAX_HELD_BODY_BYTES
    claims: int = 0
    held_bytes: int = 0

    def take(self, body_bytes: int) -> bool:
        """Enter a request; False if it must be refused."""
        if self.claims >= self.max_claims or self.held_bytes + body_bytes > self.max_bytes:
            return False
        self.claims += 1
        self.held_bytes += body_bytes
        return True

    def give_back(self, body_bytes: int) -> None:
        """Leave again."""
        self.claims -= 1
        self.held_bytes -= body_bytes
