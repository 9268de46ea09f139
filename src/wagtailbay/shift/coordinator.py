"""Advance moves while this VM holds the lease."""

import random
from collections.abc import Callable

import trio
from attrs import define, evolve, field
from result import Err, Ok

from wagtailbay.config import ConfigView, ServiceDocument
from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.shift.advance import StepEvidence, advance
from wagtailbay.shift.const import MOVE_KEY_PREFIX, TICK_INTERVAL_S
from wagtailbay.shift.evidence import FleetEvidence
from wagtailbay.shift.judge import JudgeState, fleet_false_positive_rate, judge
from wagtailbay.shift.models import Lease, MovePhase, MoveState, Stop
from wagtailbay.shift.plan import begin_move, move_id
from wagtailbay.shift.stops import StopRegistry
from wagtailbay.shift.wire import decode_move, encode_move
from wagtailbay.store import ObjectStore, StoreUnavailable

AuditCallback = Callable[[str, dict], None]


@define
class _FleetAnalysis:
    """Fleet-wide evidence and state of the judge for one move."""

    evidence: FleetEvidence
    judge_state: JudgeState
    state: MoveState
    new_requests: int = 0
    bad_reason: str | None = None


@define
class MoveCoordinator:
    """Advance every planned move by conditional updates of ``moves/<service>``.

    All persistent state is in that object, so that another lease holder can continue the move.

    Attributes:
        holder: Name and incarnation of this VM.
        audit: Called after each change of a move that was written.
        judge_enabled: Test-only switch; if False, fleet-wide evidence never stops a move.
        reads_back: Test-only switch; if False, every unanswered write counts as failed.
    """

    holder: str
    store: ObjectStore
    view: Callable[[], ConfigView]
    facts: FactTable
    stops: StopRegistry
    lease: Lease
    audit: AuditCallback
    clock: Callable[[], float]
    unix_clock: Callable[[], float]
    rng: random.Random
    judge_enabled: bool = True
    reads_back: bool = True
    analyses: dict[tuple[str, int], _FleetAnalysis] = field(factory=dict)

    async def run(self) -> None:
        """Advance all moves about once a second while this VM holds the lease."""
        while True:
            if self.lease.is_holder(self.clock()):
                await self.tick()
            else:
                self.analyses.clear()
            await trio.sleep(TICK_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def tick(self) -> None:
        """Advance each planned move once."""
        services = [s for s in self.view().services.values() if s.version_plan is not None]
        moves = {move_id(s.version_plan) for s in services}
        for key in [key for key in self.analyses if key[0] not in moves]:
            del self.analyses[key]
        for service in services:
            await self._advance(service)

    async def _advance(self, service: ServiceDocument) -> None:
        key = MOVE_KEY_PREFIX + service.service
        read = await self.store.get(key)
        if isinstance(read, Err):
            self._judge_without_store(service)
            return
        version = read.ok_value.version if read.ok_value else 0
        value = read.ok_value.value if read.ok_value else None
        before = self._planned_state(service, value)
        after = self._next_state(service, before)
        if after is None or after == before:
            return
        after = evolve(after, holder=self.holder, mark=f"{self.rng.getrandbits(64):016x}")
        if await self._write(key, after, version):
            self._audit_change(service.service, before, after)

    def _planned_state(self, service: ServiceDocument, value: object) -> MoveState | None:
        """Return the stored state of the planned move, None if it is missing or invalid.

        The state of another plan counts as missing.
        """
        if value is None:
            return None
        match decode_move(value):
            case Err(error):
                log_event("move_unusable", service=service.service, reason=error.message)
            case Ok(state) if state.plan.move == move_id(service.version_plan):
                return state
        return None

    def _next_state(self, service: ServiceDocument, before: MoveState | None) -> MoveState | None:
        now_unix_s = self.unix_clock()
        if before is None:
            if now_unix_s < service.version_plan.start_unix_s:
                return None
            started = begin_move(service.version_plan, now_unix_s)
            return advance(started, StepEvidence(0), now_unix_s)
        if before.ended:
            return before
        if before.holder != self.holder:
            # Take over the move without a transition; the next tick decides on new evidence.
            before = evolve(before, generation=before.generation + 1, holder=self.holder)
            self._analysis_for(service, before)
            return before
        return advance(before, self._step_evidence(service, before), now_unix_s)

    def _analysis_for(self, service: ServiceDocument, state: MoveState) -> _FleetAnalysis:
        key = (state.plan.move, state.generation)
        if key not in self.analyses:
            evidence = FleetEvidence(self.facts, service.service, state.plan.move)
            rate = fleet_false_positive_rate(state.generation)
            analysis = _FleetAnalysis(evidence, JudgeState(rate, len(service.routes)), state)
            # Discard the counts so far: they are no evidence of the current step.
            evidence.collect_deltas(self.clock())
            self.analyses[key] = analysis
        return self.analyses[key]

    def _step_evidence(self, service: ServiceDocument, state: MoveState) -> StepEvidence:
        analysis = self._analysis_for(service, state)
        now_s = self.clock()
        deltas = analysis.evidence.collect_deltas(now_s)
        if analysis.state.step != state.step:
            analysis.new_requests = 0
        analysis.state = state
        analysis.new_requests += sum(counts.new.requests for counts in deltas.values())
        verdict = judge(analysis.judge_state, deltas, now_s) if self.judge_enabled else None
        if verdict is not None and analysis.bad_reason is None:
            analysis.bad_reason = str(verdict)
            version = state.plan.new_version
            self.stops.report(
                Stop(service.service, state.plan.move, version, analysis.bad_reason), now_s
            )
        stop = self.stops.find(state.plan.move, now_s)
        return StepEvidence(analysis.new_requests, stop.reason if stop else analysis.bad_reason)

    def _judge_without_store(self, service: ServiceDocument) -> None:
        """Judge while the store is down; a stop reaches all VMs, the rollback is written later."""
        move = move_id(service.version_plan)
        latest_generation = max((g for m, g in self.analyses if m == move), default=None)
        if latest_generation is not None:
            self._step_evidence(service, self.analyses[(move, latest_generation)].state)

    async def _write(self, key: str, state: MoveState, version: int) -> bool:
        """Write a state; return False if the write failed or its outcome is unknown.

        After a lost answer or a conflict the object is read back; its mark shows whose write won.
        """
        if not self.lease.is_holder(self.clock()):
            return False
        match await self.store.put(key, encode_move(state), version):
            case Ok(_):
                return True
            case Err(StoreUnavailable()):
                return False
        if not self.reads_back:
            return False
        read = await self.store.get(key)
        if isinstance(read, Err) or read.ok_value is None or read.ok_value.value is None:
            return False
        return decode_move(read.ok_value.value).unwrap_or(None) == state

    def _audit_change(self, service: str, before: MoveState | None, after: MoveState) -> None:
        event = _event_name(before, after)
        details = {
            "service": service,
            "move": after.plan.move,
            "old_version": after.plan.old_version,
            "new_version": after.plan.new_version,
            "phase": after.phase.value,
            "share_ppm": after.share_ppm,
            "reason": after.reason,
        }
        log_event(event, **details)
        self.audit(event, details)


def _event_name(before: MoveState | None, after: MoveState) -> str:
    if after.phase is MovePhase.ROLLED_BACK:
        return "move_rolled_back"
    if after.phase is MovePhase.FINISHED:
        return "move_finished"
    if before is None or before.step < after.step:
        return "move_step"
    if before.generation < after.generation:
        return "move_taken_over"
    return "move_waiting"
