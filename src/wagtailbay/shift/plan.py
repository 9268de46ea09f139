"""Plan the steps of a move backwards from its deadline."""

import math
from functools import lru_cache

from result import Err, Ok, Result
from xxhash import xxh64_hexdigest

from wagtailbay.config import VersionPlan
from wagtailbay.shift.const import (
    CANARY_PPM,
    END_MARGIN_S,
    MAX_STEPS,
    MIN_STEP_S,
    PPM,
    WATCH_S,
)
from wagtailbay.shift.models import MoveFault, MovePhase, MovePlan, MoveState, Step


@lru_cache(maxsize=256)
def move_id(plan: VersionPlan) -> str:
    """Return the identity of a plan; any change of it makes another move."""
    return xxh64_hexdigest(repr(plan).encode())


def plan_steps(
    start_unix_s: float, deadline_unix_s: float, max_step_ppm: int
) -> Result[tuple[Step, ...], MoveFault]:
    """Plan the canary at the start, and equal steps at equal distances up to the whole traffic.

    The last step leaves 70 s before the deadline for the watch, or less where the steps need the
    time, but never under 5 s.
    """
    if not 0 < max_step_ppm <= PPM or not math.isfinite(deadline_unix_s - start_unix_s):
        return Err(MoveFault("max_step_ppm or a time is out of range"))
    canary_ppm = min(CANARY_PPM, max_step_ppm)
    rises = math.ceil((PPM - canary_ppm) / max_step_ppm)
    if rises >= MAX_STEPS:
        return Err(MoveFault(f"more than {MAX_STEPS} steps"))
    earliest_s = start_unix_s + rises * MIN_STEP_S
    last_s = max(earliest_s, deadline_unix_s - WATCH_S - END_MARGIN_S)
    if last_s > deadline_unix_s - MIN_STEP_S:
        need_s = (rises + 1) * MIN_STEP_S
        left_s = deadline_unix_s - start_unix_s
        message = f"{rises + 1} steps need {need_s:g} s, but {left_s:.0f} s are left"
        return Err(MoveFault(message))
    distance_s = (last_s - start_unix_s) / rises
    shares_ppm = [PPM - (rises - index) * (PPM - canary_ppm) // rises for index in range(rises + 1)]
    return Ok(
        tuple(
            Step(start_unix_s + index * distance_s, share_ppm)
            for index, share_ppm in enumerate(shares_ppm)
        )
    )


def begin_move(plan: VersionPlan, now_unix_s: float) -> MoveState:
    """Return a move before its first step; one whose plan has no room is rolled back at once."""
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
        case Err(fault):
            return MoveState(move_plan, MovePhase.ROLLED_BACK, -1, now_unix_s, reason=fault.message)
    return MoveState(move_plan, MovePhase.RUNNING, -1, now_unix_s)
