"""Share evidence of rollouts among the VMs and write their states."""

import random
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.membership.choice import rendezvous_order
from wagtailbay.rollout.const import (
    EVIDENCE_KIND,
    EVIDENCE_TTL_MS,
    LATEST_END_S,
    RAMP_END_PART,
    TICK_S,
    VERDICT_KIND,
    VERDICT_TTL_MS,
    WRITER_STEP_S,
)
from wagtailbay.rollout.judge import find_fault
from wagtailbay.rollout.models import (
    RolloutEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutVerdict,
)
from wagtailbay.rollout.traffic import RolloutProgress, RolloutTraffic
from wagtailbay.store import StoreError

WritePhase = Callable[[RolloutOrder, RolloutPhase], Awaitable[Result[None, StoreError]]]


@define
class RolloutKeeper:
    """Judge each order on every VM; the first live VM in a hash's order writes its state.

    No VM is chosen to lead: the others write later by their place in the order, under the
    condition that the state is still the one they know.

    Attributes:
        live_vms: Returns the names of the live VMs, this one included.
        write: Writes the state of an order.
    """

    vm: str
    facts: FactTable
    traffic: RolloutTraffic
    live_vms: Callable[[], list[str]]
    write: WritePhase
    clock: Callable[[], float]
    random: random.Random
    due_s: dict[tuple[str, RolloutPhase], float] = field(factory=dict)

    async def run(self) -> None:
        """Look at all orders until cancelled."""
        while True:
            for progress in list(self.traffic.progress.values()):
                if not progress.order.ended:
                    await self.tick(progress)
            await trio.sleep(TICK_S * self.random.uniform(0.9, 1.1))

    async def tick(self, progress: RolloutProgress) -> None:
        """Share evidence of one order, judge it, and write its state if that is due."""
        now_s = self.clock()
        self._publish(progress, now_s)
        reports = self._reports(progress, now_s)
        self._judge(progress, reports, now_s)
        phase = self._next_phase(progress, reports, now_s)
        if phase is not None and self._may_write(progress, phase, now_s):
            await self._write(progress, phase)

    def _publish(self, progress: RolloutProgress, now_s: float) -> None:
        order = progress.order
        counts = {route: tally.counts(now_s) for route, tally in progress.tallies.items()}
        evidence = RolloutEvidence(
            order.order_id,
            round(progress.age_s(now_s), 2),
            counts,
            progress.old_in_flight,
            progress.share(now_s) >= 1.0,
        )
        ttl_ms = EVIDENCE_TTL_MS
        self.facts.publish(
            EVIDENCE_KIND, order.service, evidence, ttl_ms=ttl_ms, now_s=now_s, urgent=True
        )

    def _reports(self, progress: RolloutProgress, now_s: float) -> dict[str, RolloutEvidence]:
        """Return the evidence of all VMs, and learn from it how old the order is."""
        reports = {
            fact.vm: fact.value
            for fact in self.facts.of_kind(EVIDENCE_KIND, now_s)
            if fact.value.order_id == progress.order.order_id
        }
        oldest_s = max((report.age_s for report in reports.values()), default=0.0)
        progress.known_since_s = min(progress.known_since_s, now_s - oldest_s)
        return reports

    def _judge(
        self, progress: RolloutProgress, reports: dict[str, RolloutEvidence], now_s: float
    ) -> None:
        if progress.bad is not None:
            return
        order_id = progress.order.order_id
        for fact in self.facts.of_kind(VERDICT_KIND, now_s):
            if fact.value.order_id == order_id:
                progress.bad = fact.value.reason
        if progress.bad is None:
            progress.bad = find_fault(report.counts for report in reports.values())
            if progress.bad is not None:
                verdict = RolloutVerdict(order_id, progress.bad)
                self.facts.publish(
                    VERDICT_KIND,
                    order_id,
                    verdict,
                    ttl_ms=VERDICT_TTL_MS,
                    now_s=now_s,
                    urgent=True,
                )
        if progress.bad is not None:
            log_event("rollout_bad", order=order_id, reason=progress.bad)

    def _next_phase(
        self, progress: RolloutProgress, reports: dict[str, RolloutEvidence], now_s: float
    ) -> RolloutPhase | None:
        """Return the state that should be written now, None if the written one holds."""
        order = progress.order
        if progress.bad is not None:
            return RolloutPhase.ROLLED_BACK
        age_s = progress.age_s(now_s)
        if age_s > RAMP_END_PART * order.duration_s and self._has_moved(progress, reports, now_s):
            return RolloutPhase.COMPLETE
        return RolloutPhase.RUNNING if order.phase is RolloutPhase.ORDERED else None

    def _has_moved(
        self, progress: RolloutProgress, reports: dict[str, RolloutEvidence], now_s: float
    ) -> bool:
        """Tell whether no VM uses the old version any more, or the time is over."""
        if progress.share(now_s) < 1.0:
            return False
        if progress.age_s(now_s) > progress.order.duration_s - LATEST_END_S:
            return True
        if progress.old_in_flight:
            return False
        live = set(self.live_vms())
        return all(
            vm in reports and reports[vm].moved and not reports[vm].old_in_flight for vm in live
        )

    def _may_write(self, progress: RolloutProgress, phase: RolloutPhase, now_s: float) -> bool:
        key = (progress.order.order_id, phase)
        if key not in self.due_s:
            names = rendezvous_order(progress.order.order_id, self.live_vms())
            place = names.index(self.vm) if self.vm in names else len(names)
            self.due_s[key] = now_s + place * WRITER_STEP_S
        return now_s >= self.due_s[key]

    async def _write(self, progress: RolloutProgress, phase: RolloutPhase) -> None:
        order = progress.order
        match await self.write(order, phase):
            case Ok(_):
                log_event("rollout_written", order=order.order_id, phase=phase.value)
            case Err(error):
                log_event("rollout_not_written", order=order.order_id, reason=str(error))
        self.due_s[(order.order_id, phase)] = self.clock() + WRITER_STEP_S
