"""Configurations and entries that the operator and the targets of a soak write."""

from collections.abc import Sequence
from typing import Final

from attrs import frozen

from wagtailbay_bench.soak.const import (
    DEPOSIT_PREFIX,
    HOST,
    READ_PREFIX,
    SERVICE,
    TARGET_SLOTS,
)


@frozen
class SoakRoute:
    """A route, and the service that it leads to."""

    name: str
    path_prefix: str
    service: str
    idempotent: bool
    timeout: str = "6s"


@frozen
class SoakWorkspace:
    """A workspace with one API key, and its rate over all VMs; 0 means no limit."""

    name: str
    key: str
    rate_per_s: float = 0.0


FIRST_BORN_UNIX_MS: Final = 1_700_000_000_000
RECORD_ROUTES: Final = (
    SoakRoute("read", READ_PREFIX, SERVICE, True),
    SoakRoute("deposit", DEPOSIT_PREFIX, SERVICE, False),
)


def build_config(
    version: str, routes: Sequence[SoakRoute], workspaces: Sequence[SoakWorkspace] = ()
) -> dict:
    """Return a configuration in the platform's format."""
    services = sorted({route.service for route in routes})
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_000_000,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    }
    return {
        "version": version,
        "routes": [_build_route(route, public=not workspaces) for route in routes],
        "services": [_build_service(service) for service in services],
        "limits": limits,
        "tenants": [_build_workspace(workspace) for workspace in workspaces],
    }


def _build_route(route: SoakRoute, public: bool) -> dict:
    return {
        "name": route.name,
        "path_prefix": route.path_prefix,
        "kind": "safe" if route.idempotent else "unsafe",
        "host": HOST,
        "timeout": route.timeout,
        "latency_goal": "2s",
        "priority": 1,
        "service": route.service,
        "max_attempts": 2,
        "public": public,
        "sticky": False,
        "home_regions": [],
    }


def _build_service(service: str) -> dict:
    return {
        "name": service,
        "health_path": "/health",
        "max_conns": 1_000,
        "protocol": "h1",
        "tls": False,
        "cold": "1s",
        "cold_per_s": 50,
    }


def _build_workspace(workspace: SoakWorkspace) -> dict:
    return {
        "name": workspace.name,
        "api_keys": [workspace.key],
        "rate_per_s": workspace.rate_per_s,
        "burst": workspace.rate_per_s,
        "priority": 1,
        "home_regions": [],
    }


def build_registration(
    address: str,
    zone: str,
    service: str = SERVICE,
    version: str = "v1",
    state: str = "ready",
    cold_left: str = "0ms",
    born_unix_ms: int = FIRST_BORN_UNIX_MS,
) -> dict:
    """Return what a target writes about itself."""
    return {
        "address": address,
        "born": born_unix_ms,
        "info": {"service": service, "version": version, "zone": zone, "slots": TARGET_SLOTS},
        "status": {"state": state, "seq": 1, "cold_left": cold_left},
    }
