"""Serialize suspect requests, so that at most one of them is in flight when a target crashes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from wagtailbay.quarantine.const import MAX_SUSPECT_WAIT_S


@define
class SuspectLimiter:
    """Runs one suspect request at a time on this VM.

    Attributes:
        semaphore: Held while a suspect runs.
        max_wait_s: Maximum wait for the semaphore, after which a suspect runs without it.
        enabled: Test-only switch; False runs suspects concurrently.
    """

    semaphore: trio.Semaphore = field(factory=lambda: trio.Semaphore(1))
    max_wait_s: float = MAX_SUSPECT_WAIT_S
    enabled: bool = True

    @asynccontextmanager
    async def hold_slot(self, is_suspect: bool, remaining_s: float) -> AsyncIterator[None]:
        """Hold the semaphore while a suspect runs; other requests proceed immediately."""
        if not is_suspect or not self.enabled:
            yield
            return
        acquired = False
        with trio.move_on_after(max(0.0, min(self.max_wait_s, remaining_s))):
            await self.semaphore.acquire()
            acquired = True
        try:
            yield
        finally:
            if acquired:
                self.semaphore.release()
