"""Data models of the routing table: routes, services, workspaces and caller limits."""

from functools import cached_property

from attrs import field, frozen


@frozen
class RoutePart:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float = 1.0


@frozen
class RouteRule:
    """Rule for the requests of one host under one path prefix.

    Attributes:
        name: Unique name of the route within the routing table.
        idempotent: Whether a request may run more than once.
        timeout_ms: Maximum time until the caller gets an answer.
        latency_goal_ms: Latency within which a request should be answered.
        priority: Priority of the requests; 0 is the most urgent.
        parts: Services among which the requests are divided by weight; never empty.
        max_targets: Maximum number of targets that are tried for one request.
        public: Whether callers need no key.
        sticky: Whether targets answer faster for objects that they handled recently.
        allowed_regions: Regions in which requests may run; empty for any region.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: float
    latency_goal_ms: float
    priority: int
    parts: tuple[RoutePart, ...]
    max_targets: int
    public: bool = False
    sticky: bool = False
    allowed_regions: frozenset[str] = frozenset()


@frozen
class ServiceRule:
    """Settings for the targets of one service.

    Attributes:
        health_path: Path of the health check endpoint of a target.
        max_connections: Maximum number of connections of one target, from all callers together.
        cold_ms: How long a target is cold after its start.
        cold_per_s: Request rate limit of a cold target across the fleet; 0 if it is not known.
    """

    service: str
    health_path: str
    max_connections: int
    cold_ms: float
    cold_per_s: float


@frozen
class Workspace:
    """A workspace with its keys and its fleet-wide rate limit.

    Attributes:
        priority: Overrides the priority of the route; None to use that of the route.
        rate_per_s: Rate limit; 0 for no limit.
        burst: Burst size in requests.
        allowed_regions: Regions in which its requests may run; empty for any region.
    """

    workspace: str
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


@frozen
class CallerLimits:
    """Limits on the size of a caller's request and on the time to send it."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@frozen(slots=False)
class RoutingTable:
    """An accepted routing configuration; a later one has a higher version."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits = field()

    @cached_property
    def _routes_by_host(self) -> dict[str, tuple[RouteRule, ...]]:
        """Return the routes of each host, longest path prefix first."""
        by_host: dict[str, list[RouteRule]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }

    @cached_property
    def _workspaces_by_key(self) -> dict[str, Workspace]:
        return {key: workspace for workspace in self.workspaces for key in workspace.keys}

    @cached_property
    def workspaces_by_name(self) -> dict[str, Workspace]:
        """Return the workspaces by name."""
        return {workspace.workspace: workspace for workspace in self.workspaces}

    @cached_property
    def services_by_name(self) -> dict[str, ServiceRule]:
        """Return the service rules by service name."""
        return {service.service: service for service in self.services}

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a host with the longest prefix of the path; None without a match."""
        routes = self._routes_by_host.get(host.lower().partition(":")[0], ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace of a key; None if the key is unknown."""
        return self._workspaces_by_key.get(key)
