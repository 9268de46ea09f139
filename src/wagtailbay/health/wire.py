"""Decode the answers of probe endpoints and the JSON form of reports.

Every decoder accepts any input and returns an error value for what it cannot use.
"""

import json
import math
from typing import Any

from result import Err, Ok, Result

from wagtailbay.health.const import MAX_PROBE_BODY_BYTES, MAX_REPORTED, MAX_VERSION_LENGTH
from wagtailbay.health.models import (
    HealthAnswer,
    LoadAnswer,
    ProbeFault,
    TargetReport,
    TargetState,
)
from wagtailbay.transport import Response


def decode_health(response: Response) -> Result[HealthAnswer, ProbeFault]:
    """Decode the answer to ``GET /health``; any status but 200 is a refusal.

    An answer may state the load by the fields of ``GET /load``.
    """
    if response.status != 200:
        return Err(ProbeFault(f"status {response.status}", refused=True))
    match _decode_object(response.body):
        case Err(fault):
            return Err(fault)
        case Ok({"state": "ok" | "draining" as state, **rest}):
            version = rest.get("version")
            usable = isinstance(version, str) and len(version) <= MAX_VERSION_LENGTH
            load = _load_of(rest).unwrap_or(None)
            return Ok(HealthAnswer(TargetState(state), version if usable else None, load))
    return Err(ProbeFault("the health answer has no known state"))


def decode_load(response: Response) -> Result[LoadAnswer, ProbeFault]:
    """Decode the answer to ``GET /load``."""
    if response.status != 200:
        return Err(ProbeFault(f"status {response.status}"))
    return _decode_object(response.body).and_then(_load_of)


def _decode_object(body: bytes) -> Result[dict[str, Any], ProbeFault]:
    if len(body) > MAX_PROBE_BODY_BYTES:
        return Err(ProbeFault(f"more than {MAX_PROBE_BODY_BYTES} bytes"))
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(ProbeFault(f"no JSON: {error}"))
    return Ok(value) if isinstance(value, dict) else Err(ProbeFault("no JSON object"))


def _load_of(value: dict[str, Any]) -> Result[LoadAnswer, ProbeFault]:
    in_flight, slots = value.get("in_flight"), value.get("slots")
    if not _is_count(in_flight) or not _is_count(slots) or slots < 1:
        return Err(ProbeFault("the load answer has no usable numbers"))
    return Ok(LoadAnswer(float(in_flight), int(slots)))


def _is_count(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 <= value <= MAX_REPORTED


def encode_report(report: TargetReport) -> list[Any]:
    """Return the JSON form of a report."""
    load = [report.load.in_flight, report.load.slots] if report.load else None
    return [report.service, report.target, report.state.value, load]


def decode_report(value: Any) -> Result[TargetReport, ProbeFault]:
    """Decode the JSON form of a report."""
    match value:
        case [str(service), str(target), "ok" | "draining" | "failed" as state, None]:
            return Ok(TargetReport(service, target, TargetState(state)))
        case [str(service), str(target), "ok" | "draining" | "failed" as state, [load, slots]]:
            answer = _load_of({"in_flight": load, "slots": slots})
            return answer.map(
                lambda found: TargetReport(service, target, TargetState(state), found)
            )
    return Err(ProbeFault("no target report"))
