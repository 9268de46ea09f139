"""Exchange rollout evidence between VMs, detect failing versions and write rollout phases."""

import random
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable, FleetAggregator, FleetLayout
from wagtailbay.membership.selection import writer_position
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
from wagtailbay.rollout.failure_detector import find_failure_reason
from wagtailbay.rollout.models import (
    EvidenceFact,
    RolloutEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutVerdict,
)
from wagtailbay.rollout.version_splitter import RolloutProgress, VersionSplitter
from wagtailbay.store import StoreError

WritePhase = Callable[[RolloutOrder, RolloutPhase], Awaitable[Result[None, StoreError]]]


@define
class RolloutController:
    """Evaluates every rollout order on every VM and writes its phase to the store.

    There is no leader: VMs write in rendezvous hash order, each one WRITER_STAGGER_S after the
    previous one, and a write succeeds only if the stored phase is still the known one.

    Attributes:
        splitter: Splits this VM's traffic and counts answers.
        live_vms: Returns the names of all live VMs, including this one.
        write_phase: Writes the phase of an order to the store.
        layout: Returns the division of the fleet into cells.
        write_due_s: When this VM may write each phase of each order.
        last_reported: Last published state of each order: whether the new version had failures, and
            1 if this VM had left the old version, else 0.
    """

    vm: str
    facts: FactTable
    splitter: VersionSplitter
    live_vms: Callable[[], list[str]]
    write_phase: WritePhase
    clock: Callable[[], float]
    random: random.Random
    layout: Callable[[], FleetLayout] = lambda: FleetLayout({}, {})
    aggregator: FleetAggregator = field(init=False)
    write_due_s: dict[tuple[str, RolloutPhase], float] = field(factory=dict)
    last_reported: dict[str, tuple[bool, int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the aggregation of evidence over the fleet."""
        self.aggregator = FleetAggregator(
            EVIDENCE_KIND, EvidenceFact, self.facts, self.layout, EVIDENCE_TTL_MS
        )

    async def run(self) -> None:
        """Reconcile all active orders periodically until cancelled."""
        while True:
            active = [
                p
                for p in self.splitter.progress.values()
                if not p.order.ended or p.lost_phase is not None
            ]
            self.forget_orders_except({progress.order.order_id for progress in active})
            for progress in active:
                await self.reconcile(progress)
            await trio.sleep(RECONCILE_INTERVAL_S * self.random.uniform(0.9, 1.1))

    def forget_orders_except(self, order_ids: set[str]) -> None:
        """Remove the state of orders that have ended."""
        self.write_due_s = {
            key: due_s for key, due_s in self.write_due_s.items() if key[0] in order_ids
        }
        self.last_reported = {
            order_id: reported
            for order_id, reported in self.last_reported.items()
            if order_id in order_ids
        }

    async def reconcile(self, progress: RolloutProgress) -> None:
        """Exchange evidence of one order, check for failure, and write its phase if due."""
        now_s = self.clock()
        evidence = self._exchange_evidence(progress, now_s)
        self._detect_failure(progress, evidence, now_s)
        phase = self._next_phase(progress, evidence, now_s)
        if phase is not None and self._may_write(progress, phase, now_s):
            await self._write(progress, phase)

    def _exchange_evidence(self, progress: RolloutProgress, now_s: float) -> RolloutEvidence:
        """Publish this VM's evidence, update the order's age and return the fleet's evidence."""
        key = progress.order.order_id
        own = RolloutEvidence(
            round(progress.age_s(now_s), 2),
            {route: counter.counts(now_s) for route, counter in progress.counters.items()},
            progress.old_in_flight,
            vms=1,
            moved_vms=int(progress.share(now_s) >= 1.0 and not progress.old_in_flight),
        )
        fleet = self.aggregator.publish_and_merge(key, own, now_s, urgent=self._is_urgent(key, own))
        progress.order_started_s = min(progress.order_started_s, now_s - fleet.age_s)
        return fleet

    def _is_urgent(self, key: str, own: RolloutEvidence) -> bool:
        """Return whether evidence must be published before the next regular exchange.

        In a large fleet, four calls per second to each peer cost more than all requests together,
        so only failures and the end of the old version are published immediately there.
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
        """Return the phase to write now, None if the stored one is current."""
        order = progress.order
        if progress.lost_phase is not None:
            return progress.lost_phase
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
        """Return whether no VM uses the old version any more, or the deadline is near."""
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
            position = writer_position(progress.order.order_id, self.vm, self.live_vms())
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
