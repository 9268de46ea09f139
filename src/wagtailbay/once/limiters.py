"""Limit the store calls and the buffered requests of idempotency handling."""

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
    """Limits concurrent and queued store calls; further calls are rejected immediately."""

    store: ObjectStore
    limiter: trio.CapacityLimiter = field(
        factory=lambda: trio.CapacityLimiter(MAX_CONCURRENT_STORE_CALLS)
    )
    max_queued: int = MAX_QUEUED_STORE_CALLS
    active_watches: int = 0

    async def run(
        self, call: Callable[[ObjectStore], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreUnavailable]:
        """Run a call once the concurrency limit permits; reject it if the queue is full."""
        if self.limiter.statistics().tasks_waiting >= self.max_queued:
            return Err(StoreUnavailable("too many queued store calls"))
        async with self.limiter:
            return await call(self.store)

    async def wait_for_change(self, key: str, version: int, timeout_s: float) -> None:
        """Wait until an object may have changed since a version, or until the timeout."""
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
    """Limits the number and the total body size of requests that are waiting for a claim."""

    max_requests: int = MAX_BUFFERED_REQUESTS
    max_bytes: int = MAX_BUFFERED_BODY_BYTES
    requests: int = 0
    buffered_bytes: int = 0

    def try_acquire(self, body_bytes: int) -> bool:
        """Reserve space for a request; return whether the limits permit it."""
        if self.requests >= self.max_requests or self.buffered_bytes + body_bytes > self.max_bytes:
            return False
        self.requests += 1
        self.buffered_bytes += body_bytes
        return True

    def release(self, body_bytes: int) -> None:
        """Free the space reserved for a request."""
        self.requests -= 1
        self.buffered_bytes -= body_bytes
