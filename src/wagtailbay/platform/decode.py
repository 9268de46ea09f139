"""Decode the platform's objects into the product's types.

An object of another form raises one of DECODE_ERRORS; the caller drops it with a log line.
"""

from typing import Any, Final

from wagtailbay.platform.durations import parse_duration_ms
from wagtailbay.registry import TargetEntry
from wagtailbay.rollout import RolloutOrder, RolloutPhase
from wagtailbay.routing import (
    CallerLimits,
    RoutePart,
    RouteRule,
    RoutingTable,
    ServiceRule,
    Workspace,
)

PHASES: Final = {
    "running": RolloutPhase.RUNNING,
    "complete": RolloutPhase.COMPLETE,
    "rolled_back": RolloutPhase.ROLLED_BACK,
}
PHASE_NAMES: Final = {phase: name for name, phase in PHASES.items()}


def decode_table(spec: dict[str, Any]) -> RoutingTable:
    """Decode a configuration."""
    limits = spec["limits"]
    return RoutingTable(
        version=int(_text(spec["version"]), 16),
        routes=tuple(_route(item) for item in spec["routes"]),
        services=tuple(_service(item) for item in spec["services"]),
        workspaces=tuple(_workspace(item) for item in spec.get("tenants") or ()),
        limits=CallerLimits(
            max_header_bytes=int(limits["max_header_bytes"]),
            max_body_bytes=int(limits["max_body_bytes"]),
            header_timeout_ms=parse_duration_ms(limits["header_timeout"]),
            idle_timeout_ms=parse_duration_ms(limits["idle_timeout"]),
        ),
    )


def _route(item: dict[str, Any]) -> RouteRule:
    parts = item.get("weighted_services") or ()
    if parts:
        found = tuple(RoutePart(_text(p["service"]), float(p["weight"])) for p in parts)
    else:
        found = (RoutePart(_text(item["service"])),)
    timeout_ms = parse_duration_ms(item["timeout"])
    goal = item.get("latency_goal")
    return RouteRule(
        name=_text(item["name"]),
        host=_text(item["host"]),
        path_prefix=_text(item["path_prefix"]),
        # Every other kind than safe may run once at most.
        idempotent=item["kind"] == "safe",
        timeout_ms=timeout_ms,
        latency_goal_ms=parse_duration_ms(goal) if goal else timeout_ms,
        priority=int(item.get("priority") or 0),
        parts=found,
        max_targets=max(1, int(item.get("max_attempts") or 1)),
        public=bool(item.get("public")),
        sticky=bool(item.get("sticky")),
        allowed_regions=frozenset(item.get("home_regions") or ()),
    )


def _service(item: dict[str, Any]) -> ServiceRule:
    cold = item.get("cold")
    return ServiceRule(
        service=_text(item["name"]),
        health_path=_text(item.get("health_path") or "/health"),
        max_connections=int(item.get("max_conns") or 0),
        cold_ms=parse_duration_ms(cold) if cold else 0.0,
        cold_per_s=float(item.get("cold_per_s") or 0.0),
    )


def _workspace(item: dict[str, Any]) -> Workspace:
    priority = item.get("priority")
    return Workspace(
        workspace=_text(item["name"]),
        keys=frozenset(_text(key) for key in item.get("api_keys") or ()),
        priority=None if priority is None else int(priority),
        rate_per_s=float(item.get("rate_per_s") or 0.0),
        burst=float(item.get("burst") or 0.0),
        allowed_regions=frozenset(item.get("home_regions") or ()),
    )


def decode_target(item: dict[str, Any], name: str) -> TargetEntry:
    """Decode the entry of a target.

    An entry may have its fields in two groups, or all at its top.
    """
    said = _said(item)
    static, changing = said.get("info") or said, said.get("status") or {}
    state = changing["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    born = said.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise ValueError(f"born is no whole number: {born!r}")
    slots = static["slots"]
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise ValueError(f"slots is no number from 1: {slots!r}")
    return TargetEntry(
        target=name,
        address=_address(said["address"]),
        service=_text(static["service"]),
        version=_text(static["version"]),
        availability_zone=_text(static["zone"]),
        slots=slots,
        draining=state == "draining",
        cold_remaining_ms=parse_duration_ms(changing.get("cold_left") or "0ms"),
        born_unix_ms=born,
    )


def _said(item: dict[str, Any]) -> dict[str, Any]:
    """Return what a target says of itself, wherever the object holds it."""
    spec = item.get("spec")
    said = dict(spec) if isinstance(spec, dict) else {}
    for name, value in item.items():
        if name not in ("meta", "spec") and value is not None:
            said.setdefault(name, value)
    return said


def decode_order(item: dict[str, Any]) -> RolloutOrder:
    """Decode an operator's order to move a service to a version, with the state written for it."""
    spec, status = item["spec"], item.get("status") or {}
    version = _text(spec["target_version"])
    # A state that was written for another version belongs to an earlier order.
    is_own = status.get("target_version") == version
    phase = PHASES.get(status.get("state"), RolloutPhase.ORDERED)
    return RolloutOrder(
        service=_text(spec["service"]),
        target_version=version,
        duration_s=parse_duration_ms(spec["duration"]) / 1000,
        created_revision=int(item["meta"].get("created") or 0),
        phase=phase if is_own else RolloutPhase.ORDERED,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a text, got {value!r}")
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"expected an address, got {value!r}")
    return value
