"""JSON encoding of moves and facts.

Every decoder accepts any input and returns an error value for invalid input.
"""

import math
from typing import Any

from attrs import asdict
from cattrs import Converter
from result import Err, Ok, Result

from wagtailbay.shift.const import LATENCY_BUCKETS, MAX_COUNT, PPM
from wagtailbay.shift.models import (
    Counts,
    Evidence,
    MoveError,
    MoveState,
    Stop,
    VersionCounts,
)

converter = Converter(forbid_extra_keys=True)


def encode_move(state: MoveState) -> dict[str, Any]:
    """Return the JSON object of a move."""
    return converter.unstructure(state)


def decode_move(value: Any) -> Result[MoveState, MoveError]:
    """Decode a move and check that its steps can't lead to an excessive share."""
    if not isinstance(value, dict):
        return Err(MoveError("move is not a JSON object"))
    try:
        state = converter.structure(value, MoveState)
    except Exception as error:  # cattrs raises exception groups with any error of a field.
        return Err(MoveError(f"move has missing or invalid fields: {type(error).__name__}"))
    problem = _find_problem(state)
    return Err(MoveError(problem)) if problem else Ok(state)


def _find_problem(state: MoveState) -> str | None:
    plan = state.plan
    numbers = (state.step_unix_s, plan.start_unix_s, plan.deadline_unix_s)
    if not all(map(math.isfinite, numbers)):
        return "times of the move must be finite"
    if not -1 <= state.step < max(1, len(plan.steps)) or state.generation < 1:
        return "step or generation out of range"
    if not plan.steps and not state.ended:
        return "a move in progress needs steps"
    previous_ppm = 0
    for step in plan.steps:
        increase_ppm = step.share_ppm - previous_ppm
        if not math.isfinite(step.at_unix_s) or not 0 < increase_ppm <= plan.max_step_ppm:
            return "a step rises by more than max_step_ppm or not at all"
        previous_ppm = step.share_ppm
    if previous_ppm > PPM:
        return "a share is above 100%"
    return None


def encode_evidence(evidence: Evidence) -> list[Any]:
    """Return a compact JSON array; latencies are pairs of bucket and count."""
    pair = evidence.counts
    return [
        evidence.service,
        evidence.move,
        evidence.route,
        *(_encode_counts(counts) for counts in (pair.old, pair.new)),
    ]


def _encode_counts(counts: Counts) -> list[Any]:
    used = [[bucket, count] for bucket, count in enumerate(counts.latencies) if count]
    return [counts.requests, counts.failures, used]


def decode_evidence(value: Any) -> Result[Evidence, MoveError]:
    """Decode the result of ``encode_evidence``."""
    match value:
        case [str(service), str(move), str(route), old, new]:
            match _decode_counts(old), _decode_counts(new):
                case Counts() as old_counts, Counts() as new_counts:
                    return Ok(Evidence(service, move, route, VersionCounts(old_counts, new_counts)))
    return Err(MoveError("invalid evidence fact"))


def _decode_counts(value: Any) -> Counts | None:
    match value:
        case [requests, failures, list(used)] if _is_count(requests) and _is_count(failures):
            latencies = [0] * LATENCY_BUCKETS
            for item in used:
                match item:
                    case [bucket, count] if _is_count(bucket) and _is_count(count):
                        if bucket >= LATENCY_BUCKETS:
                            return None
                        latencies[bucket] = count
                    case _:
                        return None
            return Counts(requests, failures, tuple(latencies))
    return None


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_COUNT


def is_valid_evidence(value: Any) -> bool:
    """Return whether the value of a fact is evidence with valid counts."""
    if not isinstance(value, Evidence) or not isinstance(value.counts, VersionCounts):
        return False
    if not isinstance(value.route, str):
        return False
    return all(_is_valid_counts(counts) for counts in (value.counts.old, value.counts.new))


def _is_valid_counts(counts: Any) -> bool:
    if not isinstance(counts, Counts) or not isinstance(counts.latencies, tuple):
        return False
    if len(counts.latencies) != LATENCY_BUCKETS:
        return False
    return all(map(_is_count, (counts.requests, counts.failures, *counts.latencies)))


def encode_stop(stop: Stop) -> dict[str, str]:
    """Return the JSON object of a stop."""
    return asdict(stop)


def decode_stop(value: Any) -> Result[Stop, MoveError]:
    """Decode the result of ``encode_stop``."""
    match value:
        case {
            "service": str(service),
            "move": str(move),
            "version": str(version),
            "reason": str(reason),
        }:
            return Ok(Stop(service, move, version, reason))
    return Err(MoveError("invalid stop fact"))
