"""Planning of the steps of a move, backwards from its deadline."""

import math
from functools import lru_cache

from result import Err, Ok, Result
from xxhash import xxh64_hexdigest

from wagtailbay.config import VersionPlan
from wagtailbay.shift.const import (
    CANARY_SHARE_PPM,
    DEADLINE_MARGIN_S,
    MAX_STEPS,
    MIN_STEP_S,
    PPM,
    WATCH_DURATION_S,
)
from wagtailbay.shift.models import MoveError, MovePhase, MovePlan, MoveState, Step


@lru_cache(maxsize=256)
def move_id(plan: VersionPlan) -> str:
    """Return the identifier of a plan; any change of the plan changes it."""
    return xxh64_hexdigest(repr(plan).encode())


def plan_steps(
    start_unix_s: float, deadline_unix_s: float, max_step_ppm: int
) -> Result[tuple[Step, ...], MoveError]:
    """Plan the canary at the start, then equal steps at equal intervals up to all traffic.

    The last step is 70 s before the deadline, which leaves time for the watch phase. It is later
    if the steps need the time, but at least 5 s before the deadline.
    """
    if not 0 < max_step_ppm <= PPM or not math.isfinite(deadline_unix_s - start_unix_s):
        return Err(MoveError("max_step_ppm or a time is out of range"))
    canary_ppm = min(CANARY_SHARE_PPM, max_step_ppm)
    increments = math.ceil((PPM - canary_ppm) / max_step_ppm)
    if increments >= MAX_STEPS:
        return Err(MoveError(f"more than {MAX_STEPS} steps"))
    earliest_last_s = start_unix_s + increments * MIN_STEP_S
    last_step_s = max(earliest_last_s, deadline_unix_s - WATCH_DURATION_S - DEADLINE_MARGIN_S)
    if last_step_s > deadline_unix_s - MIN_STEP_S:
        needed_s = (increments + 1) * MIN_STEP_S
        available_s = deadline_unix_s - start_unix_s
        message = f"{increments + 1} steps need {needed_s:g} s, but {available_s:.0f} s are left"
        return Err(MoveError(message))
    interval_s = (last_step_s - start_unix_s) / increments
    shares_ppm = [
        PPM - (increments - index) * (PPM - canary_ppm) // increments
        for index in range(increments + 1)
    ]
    return Ok(
        tuple(
            Step(start_unix_s + index * interval_s, share_ppm)
            for index, share_ppm in enumerate(shares_ppm)
        )
    )


def begin_move(plan: VersionPlan, now_unix_s: float) -> MoveState:
    """Return a move before its first step, already rolled back if its steps can't be planned."""
    start_s = max(plan.start_unix_s, now_unix_s)
    steps = plan_steps(start_s, plan.deadline_unix_s, plan.max_step_ppm)
    move_plan = MovePlan(
        move_id(plan),
        plan.old_version,
        plan.new_version,
        plan.start_unix_s,
        plan.deadline_unix_s,
        plan.max_step_ppm,
        plan.cap_per_s,
        steps.unwrap_or(()),
    )
    match steps:
        case Err(error):
            return MoveState(move_plan, MovePhase.ROLLED_BACK, -1, now_unix_s, reason=error.message)
    return MoveState(move_plan, MovePhase.RUNNING, -1, now_unix_s)
