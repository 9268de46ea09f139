"""Exchange with other VMs which targets are leaving by their own answers."""

from collections.abc import Callable

import trio
from attrs import define, field, frozen

from wagtailbay.membership import FactTable
from wagtailbay.membership.codec import register_fact
from wagtailbay.registry.const import (
    LEAVING_ANNOUNCE_DELAY_S,
    LEAVING_KIND,
    LEAVING_RETENTION_S,
)
from wagtailbay.registry.registry import TargetRegistry


@frozen
class LeavingTarget:
    """A run of a target that is leaving.

    Attributes:
        born_unix_ms: Start time of the run.
    """

    target: str
    born_unix_ms: int


register_fact(LEAVING_KIND, LeavingTarget)


@define
class LeavingTracker:
    """Tells other VMs of leaving targets that the store does not show, and learns from them.

    During an outage of the store, and after a restart of this VM, they are the only source.

    Attributes:
        announced: Runs of targets that this VM has announced or heard of from another VM.
    """

    registry: TargetRegistry
    facts: FactTable
    clock: Callable[[], float]
    announced: set[tuple[str, int]] = field(factory=set)

    async def run(self) -> None:
        """Exchange leaving targets until cancelled."""
        while True:
            with trio.move_on_after(LEAVING_ANNOUNCE_DELAY_S):
                await self.facts.changed.wait()
            self.exchange(self.clock())

    def exchange(self, now_s: float) -> None:
        """Apply the leaving targets that others announced, and announce those not yet known."""
        for fact in self.facts.of_kind(LEAVING_KIND, now_s):
            run = (fact.value.target, fact.value.born_unix_ms)
            self.announced.add(run)
            self.registry.mark_leaving(*run, now_s)
        for run, since_s in tuple(self.registry.leaving_since_s.items()):
            if now_s - since_s >= LEAVING_ANNOUNCE_DELAY_S and self._needs_announcement(run):
                self._announce(run, now_s)
        self.announced &= self.registry.leaving_since_s.keys()

    def _needs_announcement(self, run: tuple[str, int]) -> bool:
        """Return whether the store shows others a leaving target as ready."""
        target, born_unix_ms = run
        known = self.registry.targets.get(target)
        if run in self.announced or known is None or known.entry.born_unix_ms != born_unix_ms:
            return False
        return not known.entry.draining and known.removed_s is None

    def _announce(self, run: tuple[str, int], now_s: float) -> None:
        self.announced.add(run)
        target, born_unix_ms = run
        self.facts.publish(
            LEAVING_KIND,
            f"{target}/{born_unix_ms}",
            LeavingTarget(target, born_unix_ms),
            ttl_ms=round(LEAVING_RETENTION_S * 1000),
            now_s=now_s,
            urgent=True,
        )
