"""Decoding of the platform's objects into the product's types.

A malformed object raises one of DECODE_ERRORS; the caller logs and drops it.
"""

from typing import Any, Final

from wagtailbay.decoding import MAX_COUNT, require_count, require_text
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
from wagtailbay.settings.checks import parse_address, split_address

TARGET_STATES: Final = ("ready", "draining")
# Kinds of routes whose requests may run more than once; all others run at most once.
IDEMPOTENT_KINDS: Final = frozenset({"safe", "download"})
# A target with more slots than this is an error in its entry.
MAX_SLOTS: Final = 1_000_000
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
        version=require_count(int(require_text(spec["version"]), 16)),
        routes=tuple(_decode_route(item) for item in spec["routes"]),
        services=tuple(_decode_service(item) for item in spec["services"]),
        workspaces=tuple(_decode_workspace(item) for item in spec.get("tenants") or ()),
        limits=CallerLimits(
            max_header_bytes=require_count(limits["max_header_bytes"]),
            max_body_bytes=require_count(limits["max_body_bytes"]),
            header_timeout_ms=parse_duration_ms(limits["header_timeout"]),
            idle_timeout_ms=parse_duration_ms(limits["idle_timeout"]),
        ),
    )


def _decode_route(item: dict[str, Any]) -> RouteRule:
    weighted_services = item.get("weighted_services") or ()
    if weighted_services:
        route_parts = tuple(
            RoutePart(require_text(p["service"]), _require_rate(p["weight"]))
            for p in weighted_services
        )
    else:
        route_parts = (RoutePart(require_text(item["service"])),)
    timeout_ms = parse_duration_ms(item["timeout"])
    latency_goal = item.get("latency_goal")
    return RouteRule(
        name=require_text(item["name"]),
        host=require_text(item["host"]),
        path_prefix=require_text(item["path_prefix"]),
        idempotent=require_text(item["kind"]) in IDEMPOTENT_KINDS,
        timeout_ms=timeout_ms,
        latency_goal_ms=parse_duration_ms(latency_goal) if latency_goal else timeout_ms,
        priority=require_count(item.get("priority") or 0),
        parts=route_parts,
        max_targets=require_count(item.get("max_attempts") or 1, minimum=1),
        public=bool(item.get("public")),
        sticky=bool(item.get("sticky")),
        allowed_regions=_decode_names(item.get("home_regions")),
    )


def _decode_service(item: dict[str, Any]) -> ServiceRule:
    cold = item.get("cold")
    return ServiceRule(
        service=require_text(item["name"]),
        health_path=require_text(item.get("health_path") or "/health"),
        max_connections=require_count(item.get("max_conns") or 0),
        cold_ms=parse_duration_ms(cold) if cold else 0.0,
        cold_per_s=_require_rate(item.get("cold_per_s") or 0.0),
    )


def _decode_workspace(item: dict[str, Any]) -> Workspace:
    priority = item.get("priority")
    return Workspace(
        workspace=require_text(item["name"]),
        keys=_decode_names(item.get("api_keys")),
        priority=None if priority is None else require_count(priority),
        rate_per_s=_require_rate(item.get("rate_per_s") or 0.0),
        burst=_require_rate(item.get("burst") or 0.0),
        allowed_regions=_decode_names(item.get("home_regions")),
    )


def _decode_names(names: Any) -> frozenset[str]:
    return frozenset(require_text(name) for name in names or ())


def _require_rate(value: Any) -> float:
    """Return a finite number that is not negative; raise ValueError for another value."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_COUNT:
        raise ValueError("expected a finite number that is not negative")
    return float(value)


def decode_target_entry(item: dict[str, Any], name: str) -> TargetEntry:
    """Decode the registry entry of a target.

    The fields may be grouped under ``info`` and ``status``, or the static fields may be at the
    top level.
    """
    fields = _merge_fields(item)
    info, status = fields.get("info") or fields, fields.get("status") or {}
    state = status["state"]
    if state not in TARGET_STATES:
        raise ValueError(f"expected a known state, got {str(state)[:40]!r}")
    return TargetEntry(
        target=name,
        address=require_address(fields["address"]),
        service=require_text(info["service"]),
        version=require_text(info["version"]),
        availability_zone=require_text(info["zone"]),
        slots=require_count(info["slots"], minimum=1, maximum=MAX_SLOTS),
        draining=state == "draining",
        cold_remaining_ms=parse_duration_ms(status.get("cold_left") or "0ms"),
        born_unix_ms=require_count(fields.get("born", 0)),
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
    version = require_text(spec["target_version"])
    # A status with another target version belongs to an earlier order.
    is_current = status.get("target_version") == version
    phase = PHASES_BY_NAME.get(status.get("state"), RolloutPhase.ORDERED)
    return RolloutOrder(
        service=require_text(spec["service"]),
        target_version=version,
        duration_s=parse_duration_ms(spec["duration"]) / 1000,
        created_revision=require_count(item["meta"].get("created") or 0),
        phase=phase if is_current else RolloutPhase.ORDERED,
    )


def require_address(value: Any) -> str:
    """Return an address of the form ``<IP address>:<port>``; raise ValueError for another value."""
    address = parse_address(require_text(value))
    if split_address(address)[1] == 0:
        raise ValueError(f"expected a port from 1 to 65535, got {address!r}")
    return address
