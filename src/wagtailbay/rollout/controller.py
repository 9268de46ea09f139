"""Share evidence of rollouts among the VMs and write their states."""

import random
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable, FleetFold, FleetLayout
from wagtailbay.membership.choice import rendezvous_order
from wagtailbay.rollout.const import (
    COMPLETION_MARGIN_S,
    EVIDENCE_KIND,
    EVIDENCE_TTL_MS,
    RAMP_END_FRACTION,
    RECONCILE_INTERVAL_S,
    VERDICT_KIND,
    VERDICT_TTL_MS,
    WRITER_STAGGER_S,
)
from wagtailbay.rollout.judge import find_failure_reason
from wagtailbay.rollout.models import (
    EvidenceFact,
    RolloutEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutVerdict,
)
from wagtailbay.rollout.traffic import RolloutProgress, VersionSplitter
from wagtailbay.store import StoreError

WritePhase = Callable[[RolloutOrder, RolloutPhase], Awaitable[Result[None, StoreError]]]


@define
class RolloutController:
    """Judge each order on every VM; the first live VM in a hash's order writes its state.

    No VM is chosen to lead: the others write later by their place in the order, under the
    condition that the state is still the one they know.

    Attributes:
        live_vms: Returns the names of the live VMs, this one included.
        write_phase: Writes the state of an order.
        layout: Returns how the fleet is divided.
        last_reported: By order, whether bad answers were told last, and whether the old version is left.
    """

    vm: str
    facts: FactTable
    splitter: VersionSplitter
    live_vms: Callable[[], list[str]]
    write_phase: WritePhase
    clock: Callable[[], float]
    random: random.Random
    layout: Callable[[], FleetLayout] = lambda: FleetLayout({}, {})
    fold: FleetFold = field(init=False)
    write_due_s: dict[tuple[str, RolloutPhase], float] = field(factory=dict)
    last_reported: dict[str, tuple[bool, int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add up the evidence over the fleet."""
        self.fold = FleetFold(EVIDENCE_KIND, EvidenceFact, self.facts, self.layout, EVIDENCE_TTL_MS)

    async def run(self) -> None:
        """Look at all orders until cancelled."""
        while True:
            for progress in list(self.splitter.progress.values()):
                if not progress.order.ended:
                    await self.reconcile(progress)
            await trio.sleep(RECONCILE_INTERVAL_S * self.random.uniform(0.9, 1.1))

    async def reconcile(self, progress: RolloutProgress) -> None:
        """Share evidence of one order, judge it, and write its state if that is due."""
        now_s = self.clock()
        evidence = self._exchange_evidence(progress, now_s)
        self._detect_failure(progress, evidence, now_s)
        phase = self._next_phase(progress, evidence, now_s)
        if phase is not None and self._may_write(progress, phase, now_s):
            await self._write(progress, phase)

    def _exchange_evidence(self, progress: RolloutProgress, now_s: float) -> RolloutEvidence:
        """Publish this VM's evidence; return that of the fleet, and learn how old the order is."""
        key = progress.order.order_id
        own = RolloutEvidence(
            round(progress.age_s(now_s), 2),
            {route: counter.counts(now_s) for route, counter in progress.counters.items()},
            progress.old_in_flight,
            vms=1,
            moved_vms=int(progress.share(now_s) >= 1.0 and not progress.old_in_flight),
        )
        fleet = self.fold.exchange(key, own, now_s, urgent=self._is_urgent(key, own))
        progress.order_started_s = min(progress.order_started_s, now_s - fleet.age_s)
        return fleet

    def _is_urgent(self, key: str, own: RolloutEvidence) -> bool:
        """Tell whether evidence must not wait for the next exchange.

        In a large fleet four calls a second to each peer were more work than all requests, so
        there only bad answers and the end of the old version are told at once.
        """
        if not self.layout().is_divided:
            return True
        last_reported = (sum(counts[3] for counts in own.counts.values()) >= 1.0, own.moved_vms)
        changed = self.last_reported.get(key) != last_reported
        self.last_reported[key] = last_reported
        return changed or (last_reported[0] and self.layout().is_delegate(self.vm))

    def _detect_failure(
        self, progress: RolloutProgress, evidence: RolloutEvidence, now_s: float
    ) -> None:
        if progress.failure_reason is not None:
            return
        order_id = progress.order.order_id
        for fact in self.facts.of_kind(VERDICT_KIND, now_s):
            if fact.value.order_id == order_id:
                progress.failure_reason = fact.value.reason
        if progress.failure_reason is None:
            progress.failure_reason = find_failure_reason(evidence.counts)
            if progress.failure_reason is not None:
                verdict = RolloutVerdict(order_id, progress.failure_reason)
                self.facts.publish(
                    VERDICT_KIND,
                    order_id,
                    verdict,
                    ttl_ms=VERDICT_TTL_MS,
                    now_s=now_s,
                    urgent=True,
                )
        if progress.failure_reason is not None:
            log_event("rollout_bad", order=order_id, reason=progress.failure_reason)

    def _next_phase(
        self, progress: RolloutProgress, evidence: RolloutEvidence, now_s: float
    ) -> RolloutPhase | None:
        """Return the state that should be written now, None if the written one holds."""
        order = progress.order
        if progress.failure_reason is not None:
            return RolloutPhase.ROLLED_BACK
        age_s = progress.age_s(now_s)
        if age_s > RAMP_END_FRACTION * order.duration_s and self._traffic_has_moved(
            progress, evidence, now_s
        ):
            return RolloutPhase.COMPLETE
        return RolloutPhase.RUNNING if order.phase is RolloutPhase.ORDERED else None

    def _traffic_has_moved(
        self, progress: RolloutProgress, evidence: RolloutEvidence, now_s: float
    ) -> bool:
        """Tell whether no VM uses the old version any more, or the time is over."""
        if progress.share(now_s) < 1.0:
            return False
        if progress.age_s(now_s) > progress.order.duration_s - COMPLETION_MARGIN_S:
            return True
        if progress.old_in_flight or evidence.old_in_flight:
            return False
        if evidence.moved_vms < evidence.vms:
            return False
        return evidence.moved_vms >= len(self.live_vms())

    def _may_write(self, progress: RolloutProgress, phase: RolloutPhase, now_s: float) -> bool:
        key = (progress.order.order_id, phase)
        if key not in self.write_due_s:
            names = rendezvous_order(progress.order.order_id, self.live_vms())
            position = names.index(self.vm) if self.vm in names else len(names)
            self.write_due_s[key] = now_s + position * WRITER_STAGGER_S
        return now_s >= self.write_due_s[key]

    async def _write(self, progress: RolloutProgress, phase: RolloutPhase) -> None:
        order = progress.order
        match await self.write_phase(order, phase):
            case Ok(_):
                log_event("rollout_written", order=order.order_id, phase=phase.value)
            case Err(error):
                log_event("rollout_not_written", order=order.order_id, reason=str(error))
        self.write_due_s[(order.order_id, phase)] = self.clock() + WRITER_STAGGER_S
