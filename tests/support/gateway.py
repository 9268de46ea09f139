"""Factories of routing tables, target entries and platform objects, and a fake target."""

import json
from typing import Any

import trio
from attrs import define, field

from wagtailbay.registry import TargetEntry, TargetRegistry
from wagtailbay.replica import to_value
from wagtailbay.routing import CallerLimits, RoutePart, RouteRule, RoutingTable, ServiceRule
from wagtailbay.store import StoredObject
from wagtailbay.transport import CallerDisconnectedError, HttpServer, Reply, Request

CRASH_PATH = "/crash"

LIMITS = CallerLimits(16_384, 1_000_000, 3_000.0, 15_000.0)


def make_route(name: str = "r", **changes: Any) -> RouteRule:
    """Return a route for host ``h.example`` and path prefix ``/a/``."""
    values: dict[str, Any] = {
        "name": name,
        "host": "h.example",
        "path_prefix": "/a/",
        "idempotent": True,
        "timeout_ms": 1_000.0,
        "latency_goal_ms": 300.0,
        "priority": 1,
        "parts": (RoutePart("records"),),
        "max_targets": 2,
    }
    return RouteRule(**(values | changes))


def make_table(*routes: RouteRule, version: int = 1, workspaces: tuple = ()) -> RoutingTable:
    """Return a routing table with one service."""
    services = (ServiceRule("records", "/health", 100, 3_000.0, 6.0),)
    return RoutingTable(version, routes or (make_route(),), services, workspaces, LIMITS)


def make_entry(name: str, **changes: Any) -> TargetEntry:
    """Return the registry entry of a target in zone ``z1``."""
    values: dict[str, Any] = {
        "target": name,
        "address": "127.0.0.1:1",
        "service": "records",
        "version": "v1",
        "availability_zone": "z1",
        "slots": 4,
        "draining": False,
        "cold_remaining_ms": 0.0,
    }
    return TargetEntry(**(values | changes))


def make_objects(prefix: str, name: str, version: int, value: Any) -> dict[str, StoredObject]:
    """Return a mapping from an object's key to the replicated object."""
    return {prefix + name: StoredObject(prefix + name, version, value)}


def make_registry(*entries: TargetEntry, now_s: float = 0.0) -> TargetRegistry:
    """Return a registry with the given targets."""
    registry = TargetRegistry()
    objects = {}
    for version, target in enumerate(entries, start=1):
        objects |= make_objects("targets/", target.target, version, to_value(target))
    registry.apply(objects, {}, now_s)
    return registry


def config_spec(**changes: Any) -> dict[str, Any]:
    """Return a configuration in the format of the platform."""
    spec = {
        "version": "00000007",
        "routes": [
            {
                "name": "r1",
                "host": "h.example",
                "path_prefix": "/a/",
                "kind": "safe",
                "timeout": "1500ms",
                "latency_goal": "600ms",
                "priority": 2,
                "weighted_services": [
                    {"service": "records", "weight": 90},
                    {"service": "other", "weight": 10},
                ],
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "home_regions": ["north"],
            },
            {
                "name": "r2",
                "host": "h.example",
                "path_prefix": "/b/",
                "kind": "unsafe",
                "timeout": "2s",
                "service": "records",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "records",
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "cold": "3s",
                "cold_per_s": 6.4,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": [
            {
                "name": "unam",
                "api_keys": ["key-1", "key-2"],
                "priority": 1,
                "rate_per_s": 134,
                "burst": 134,
                "home_regions": [],
            }
        ],
    }
    return spec | changes


def server_fields(address: str, **status: Any) -> dict[str, Any]:
    """Return the fields that a target registers with the platform."""
    return {
        "address": address,
        "born": 1_700_000_000_000,
        "info": {"service": "records", "version": "v1", "zone": "z1", "slots": 7},
        "status": {"state": "ready", "seq": 4, "cold_left": "0ms"} | status,
    }


@define
class PlatformTarget:
    """Fake target of the platform that records the requests it receives."""

    name: str
    status: int = 200
    not_run: bool = False
    delay_s: float = 0.0
    requests: list[Request] = field(factory=list)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Respond to a request; close the connection without a response on the crash path."""
        self.requests.append(request)
        if request.path.endswith(CRASH_PATH):
            raise CallerDisconnectedError
        await trio.sleep(self.delay_s)
        headers = (
            ("Request-Id", request.header("Request-Id") or ""),
            ("Response-Seal", f"seal-{self.name}"),
            ("Server-Load", "1,0,7"),
        )
        if self.not_run:
            headers += (("Not-Executed", "1"),)
        body = json.dumps({"target": self.name}).encode()
        await reply.send_response(self.status, headers, body)

    async def serve(self, *, task_status: Any) -> None:
        """Serve on a free loopback port and report (host, port) as the task status."""
        await HttpServer(self.handle).serve(("127.0.0.1", 0), task_status=task_status)
