"""Run suspects one after another, so that the next crash has one of them in flight."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from wagtailbay.quarantine.const import MAX_SUSPECT_WAIT_S


@define
class SuspectLimiter:
    """Admit one suspect at a time on this VM; none waits longer than MAX_SUSPECT_WAIT_S.

    Attributes:
        enabled: For tests only; False lets suspects run together.
    """

    semaphore: trio.Semaphore = field(factory=lambda: trio.Semaphore(1))
    max_wait_s: float = MAX_SUSPECT_WAIT_S
    enabled: bool = True

    @asynccontextmanager
    async def hold_slot(self, suspect: bool, left_s: float) -> AsyncIterator[None]:
        """Hold the place while a suspect runs; others pass at once."""
        if not suspect or not self.enabled:
            yield
            return
        acquired = False
        with trio.move_on_after(max(0.0, min(self.max_wait_s, left_s))):
            await self.semaphore.acquire()
            acquired = True
        try:
            yield
        finally:
            if acquired:
                self.semaphore.release()
