"""Bound the calls that claims and outcomes make to the store."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from attrs import define, field
from result import Err, Result

from wagtailbay.once.const import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_BUFFERED_REQUESTS,
    MAX_CONCURRENT_STORE_CALLS,
    MAX_CONCURRENT_WATCHES,
    MAX_QUEUED_STORE_CALLS,
    WATCH_TIMEOUT_MS,
)
from wagtailbay.store import ObjectStore, StoreUnavailable

T = TypeVar("T")
E = TypeVar("E")


@define
class StoreCallLimiter:
    """Let a bounded number of calls run and wait; more are refused at once."""

    store: ObjectStore
    limiter: trio.CapacityLimiter = field(
        factory=lambda: trio.CapacityLimiter(MAX_CONCURRENT_STORE_CALLS)
    )
    max_queued: int = MAX_QUEUED_STORE_CALLS
    active_watches: int = 0

    async def run(
        self, call: Callable[[ObjectStore], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreUnavailable]:
        """Make a call when a place is free."""
        if self.limiter.statistics().tasks_waiting >= self.max_queued:
            return Err(StoreUnavailable("too many calls wait for the store"))
        async with self.limiter:
            return await call(self.store)

    async def wait_for_change(self, key: str, version: int, timeout_s: float) -> None:
        """Wait until an object may have changed after a version."""
        wait_s = min(timeout_s, WATCH_TIMEOUT_MS / 1000)
        if self.active_watches >= MAX_CONCURRENT_WATCHES:
            await trio.sleep(wait_s)
            return
        self.active_watches += 1
        try:
            with trio.move_on_after(wait_s):
                watched = await self.store.watch((key,), version, max(1, round(wait_s * 1000)))
                if isinstance(watched, Err):
                    await trio.sleep(wait_s)
        finally:
            self.active_watches -= 1


@define
class RequestBufferLimiter:
    """Bound the requests, and the bytes of their bodies, that wait for a claim."""

    max_requests: int = MAX_BUFFERED_REQUESTS
    max_bytes: int = MAX_BUFFERED_BODY_BYTES
    requests: int = 0
    buffered_bytes: int = 0

    def try_acquire(self, body_bytes: int) -> bool:
        """Enter a request; False if it must be refused."""
        if self.requests >= self.max_requests or self.buffered_bytes + body_bytes > self.max_bytes:
            return False
        self.requests += 1
        self.buffered_bytes += body_bytes
        return True

    def release(self, body_bytes: int) -> None:
        """Leave again."""
        self.requests -= 1
        self.buffered_bytes -= body_bytes
