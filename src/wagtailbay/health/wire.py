"""Decode the responses of probe endpoints and encode and decode reports as JSON.

The decoders accept arbitrary input and return an error value if it is invalid.
"""

import json
from typing import Any

from result import Err, Ok, Result

from wagtailbay.health.const import MAX_PROBE_BODY_BYTES, MAX_REPORTED_VALUE, MAX_VERSION_LENGTH
from wagtailbay.health.models import (
    HealthResponse,
    ProbeError,
    ReportedLoad,
    TargetReport,
    TargetState,
)
from wagtailbay.transport import Response


def decode_health(response: Response) -> Result[HealthResponse, ProbeError]:
    """Decode the response to ``GET /health``; any status other than 200 means unhealthy.

    The response may include the load in the fields of ``GET /load``.
    """
    if response.status != 200:
        return Err(ProbeError(f"unexpected status {response.status}", reported_unhealthy=True))
    match _decode_object(response.body):
        case Err(error):
            return Err(error)
        case Ok({"state": "ok" | "draining" as state, **rest}):
            version = rest.get("version")
            is_valid = isinstance(version, str) and len(version) <= MAX_VERSION_LENGTH
            load = _parse_load(rest).unwrap_or(None)
            return Ok(HealthResponse(TargetState(state), version if is_valid else None, load))
    return Err(ProbeError("health response has no known state"))


def decode_load(response: Response) -> Result[ReportedLoad, ProbeError]:
    """Decode the response to ``GET /load``."""
    if response.status != 200:
        return Err(ProbeError(f"unexpected status {response.status}"))
    return _decode_object(response.body).and_then(_parse_load)


def _decode_object(body: bytes) -> Result[dict[str, Any], ProbeError]:
    if len(body) > MAX_PROBE_BODY_BYTES:
        return Err(ProbeError(f"response body exceeds {MAX_PROBE_BODY_BYTES} bytes"))
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(ProbeError(f"response body is not valid JSON: {error}"))
    return (
        Ok(value)
        if isinstance(value, dict)
        else Err(ProbeError("response body is not a JSON object"))
    )


def _parse_load(value: dict[str, Any]) -> Result[ReportedLoad, ProbeError]:
    in_flight, slots = value.get("in_flight"), value.get("slots")
    if not _is_count(in_flight) or not _is_count(slots) or slots < 1:
        return Err(ProbeError("in_flight or slots is missing or invalid"))
    return Ok(ReportedLoad(float(in_flight), int(slots)))


def _is_count(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value <= MAX_REPORTED_VALUE


def encode_report(report: TargetReport) -> list[Any]:
    """Encode a report as a JSON value."""
    load = [report.load.in_flight, report.load.slots] if report.load else None
    return [report.service, report.target, report.state.value, load]


def decode_report(value: Any) -> Result[TargetReport, ProbeError]:
    """Decode a report from a JSON value."""
    match value:
        case [str(service), str(target), "ok" | "draining" | "failed" as state, None]:
            return Ok(TargetReport(service, target, TargetState(state)))
        case [str(service), str(target), "ok" | "draining" | "failed" as state, [load, slots]]:
            parsed_load = _parse_load({"in_flight": load, "slots": slots})
            return parsed_load.map(
                lambda reported: TargetReport(service, target, TargetState(state), reported)
            )
    return Err(ProbeError("value is not a valid target report"))
