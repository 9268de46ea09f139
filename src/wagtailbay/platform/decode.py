"""Decoding of the platform's objects into the product's types.

A malformed object raises one of DECODE_ERRORS; the caller logs and drops it.
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

PHASES_BY_NAME: Final = {
    "running": RolloutPhase.RUNNING,
    "complete": RolloutPhase.COMPLETE,
    "rolled_back": RolloutPhase.ROLLED_BACK,
}
NAMES_BY_PHASE: Final = {phase: name for name, phase in PHASES_BY_NAME.items()}


def decode_routing_table(spec: dict[str, Any]) -> RoutingTable:
    """Decode the routing table from the spec of a configuration object."""
    limits = spec["limits"]
    return RoutingTable(
        version=int(_require_text(spec["version"]), 16),
        routes=tuple(_decode_route(item) for item in spec["routes"]),
        services=tuple(_decode_service(item) for item in spec["services"]),
        workspaces=tuple(_decode_workspace(item) for item in spec.get("tenants") or ()),
        limits=CallerLimits(
            max_header_bytes=int(limits["max_header_bytes"]),
            max_body_bytes=int(limits["max_body_bytes"]),
            header_timeout_ms=parse_duration_ms(limits["header_timeout"]),
            idle_timeout_ms=parse_duration_ms(limits["idle_timeout"]),
        ),
    )


def _decode_route(item: dict[str, Any]) -> RouteRule:
    weighted_services = item.get("weighted_services") or ()
    if weighted_services:
        route_parts = tuple(
            RoutePart(_require_text(p["service"]), float(p["weight"])) for p in weighted_services
        )
    else:
        route_parts = (RoutePart(_require_text(item["service"])),)
    timeout_ms = parse_duration_ms(item["timeout"])
    latency_goal = item.get("latency_goal")
    return RouteRule(
        name=_require_text(item["name"]),
        host=_require_text(item["host"]),
        path_prefix=_require_text(item["path_prefix"]),
        # Requests of every kind other than safe must run at most once.
        idempotent=item["kind"] == "safe",
        timeout_ms=timeout_ms,
        latency_goal_ms=parse_duration_ms(latency_goal) if latency_goal else timeout_ms,
        priority=int(item.get("priority") or 0),
        parts=route_parts,
        max_targets=max(1, int(item.get("max_attempts") or 1)),
        public=bool(item.get("public")),
        sticky=bool(item.get("sticky")),
        allowed_regions=frozenset(item.get("home_regions") or ()),
    )


def _decode_service(item: dict[str, Any]) -> ServiceRule:
    cold = item.get("cold")
    return ServiceRule(
        service=_require_text(item["name"]),
        health_path=_require_text(item.get("health_path") or "/health"),
        max_connections=int(item.get("max_conns") or 0),
        cold_ms=parse_duration_ms(cold) if cold else 0.0,
        cold_per_s=float(item.get("cold_per_s") or 0.0),
    )


def _decode_workspace(item: dict[str, Any]) -> Workspace:
    priority = item.get("priority")
    return Workspace(
        workspace=_require_text(item["name"]),
        keys=frozenset(_require_text(key) for key in item.get("api_keys") or ()),
        priority=None if priority is None else int(priority),
        rate_per_s=float(item.get("rate_per_s") or 0.0),
        burst=float(item.get("burst") or 0.0),
        allowed_regions=frozenset(item.get("home_regions") or ()),
    )


def decode_target_entry(item: dict[str, Any], name: str) -> TargetEntry:
    """Decode the registry entry of a target.

    The fields may be grouped under ``info`` and ``status``, or the static fields may be at the
    top level.
    """
    fields = _merge_fields(item)
    info, status = fields.get("info") or fields, fields.get("status") or {}
    state = status["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    born = fields.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise ValueError(f"born must be an integer, got {born!r}")
    slots = info["slots"]
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise ValueError(f"slots must be an integer of at least 1, got {slots!r}")
    return TargetEntry(
        target=name,
        address=_require_address(fields["address"]),
        service=_require_text(info["service"]),
        version=_require_text(info["version"]),
        availability_zone=_require_text(info["zone"]),
        slots=slots,
        draining=state == "draining",
        cold_remaining_ms=parse_duration_ms(status.get("cold_left") or "0ms"),
        born_unix_ms=born,
    )


def _merge_fields(item: dict[str, Any]) -> dict[str, Any]:
    """Merge the fields of a target's entry from the spec and the top level of the object."""
    spec = item.get("spec")
    fields = dict(spec) if isinstance(spec, dict) else {}
    for name, value in item.items():
        if name not in ("meta", "spec") and value is not None:
            fields.setdefault(name, value)
    return fields


def decode_rollout_order(item: dict[str, Any]) -> RolloutOrder:
    """Decode an operator's rollout order and the phase recorded in its status."""
    spec, status = item["spec"], item.get("status") or {}
    version = _require_text(spec["target_version"])
    # A status with another target version belongs to an earlier order.
    is_current = status.get("target_version") == version
    phase = PHASES_BY_NAME.get(status.get("state"), RolloutPhase.ORDERED)
    return RolloutOrder(
        service=_require_text(spec["service"]),
        target_version=version,
        duration_s=parse_duration_ms(spec["duration"]) / 1000,
        created_revision=int(item["meta"].get("created") or 0),
        phase=phase if is_current else RolloutPhase.ORDERED,
    )


def _require_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty string, got {value!r}")
    return value


def _require_address(value: Any) -> str:
    host, _, port = _require_text(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"expected <host>:<port>, got {value!r}")
    return value
