"""State transitions of a move."""

from attrs import evolve, frozen

from wagtailbay.shift.const import MIN_STEP_REQUESTS, MIN_STEP_S, WATCH_DURATION_S
from wagtailbay.shift.models import MovePhase, MoveState

WAITING_REASON = "waiting for evidence of the new version"


@frozen
class StepEvidence:
    """Evidence that decides the next transition of a move.

    Attributes:
        new_requests: Requests that the new version served since the step began.
        bad_reason: Why the new version must be rolled back, None if nothing speaks against it.
    """

    new_requests: int
    bad_reason: str | None = None


def advance(state: MoveState, evidence: StepEvidence, now_unix_s: float) -> MoveState:
    """Return the next state of a move, or the same state if nothing changes.

    A step begins once its planned time has come and the previous step has lasted at least 5 s and
    served enough requests. A move that hasn't reached its last step by the deadline is rolled
    back.
    """
    if state.ended:
        return state
    if evidence.bad_reason is not None:
        return _roll_back(state, evidence.bad_reason, now_unix_s)
    if state.phase is MovePhase.WATCHING:
        return _advance_watching(state, evidence, now_unix_s)
    if now_unix_s >= state.plan.deadline_unix_s:
        reason = state.reason or "not at its last step"
        share = f"{state.share_ppm / 10_000:g}%"
        return _roll_back(state, f"deadline passed at {share}: {reason}", now_unix_s)
    return _advance_step(state, evidence, now_unix_s)


def _roll_back(state: MoveState, reason: str, now_unix_s: float) -> MoveState:
    return evolve(state, phase=MovePhase.ROLLED_BACK, step_unix_s=now_unix_s, reason=reason)


def _advance_watching(state: MoveState, evidence: StepEvidence, now_unix_s: float) -> MoveState:
    """End the watch phase after 60 s, or at the deadline if an outage delayed the last step."""
    watched_s = now_unix_s - state.step_unix_s
    overdue = now_unix_s >= state.plan.deadline_unix_s
    if watched_s < WATCH_DURATION_S and not overdue:
        return state
    if watched_s >= MIN_STEP_S and evidence.new_requests >= MIN_STEP_REQUESTS:
        return evolve(state, phase=MovePhase.FINISHED, step_unix_s=now_unix_s, reason="")
    if overdue:
        return _roll_back(state, "no evidence of the new version by the deadline", now_unix_s)
    return state


def _advance_step(state: MoveState, evidence: StepEvidence, now_unix_s: float) -> MoveState:
    next_step = state.plan.steps[state.step + 1]
    if now_unix_s < next_step.at_unix_s:
        return state
    if state.step >= 0 and now_unix_s < state.step_unix_s + MIN_STEP_S:
        return state
    if state.step >= 0 and evidence.new_requests < MIN_STEP_REQUESTS:
        return evolve(state, reason=WAITING_REASON)
    is_last_step = state.step + 1 == len(state.plan.steps) - 1
    phase = MovePhase.WATCHING if is_last_step else MovePhase.RUNNING
    return evolve(state, phase=phase, step=state.step + 1, step_unix_s=now_unix_s, reason="")
