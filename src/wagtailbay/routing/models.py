"""Model one configuration: routes, services, workspaces and the limits on callers."""

from functools import cached_property

from attrs import field, frozen


@frozen
class RoutePart:
    """Name one service of a route and the part of its requests that it gets."""

    service: str
    weight: float = 1.0


@frozen
class RouteRule:
    """Describe the requests of one host under one path prefix.

    Attributes:
        name: Its name, unique in the configuration.
        idempotent: Whether a request may run more than once.
        timeout_ms: The longest time for which a caller may be kept waiting.
        latency_goal_ms: An answer within this time is in good time.
        priority: 0 is the most urgent.
        parts: The services among which its requests are divided by weight; never empty.
        max_targets: How many targets one request may be sent to.
        public: Whether callers need no key.
        sticky: Whether targets answer faster for an object that they handled lately.
        allowed_regions: Where it may run; empty for anywhere.
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
    """Describe the targets of one service.

    Attributes:
        health_path: Where a target tells of its health.
        max_connections: What one target takes from all callers together.
        cold_ms: How long a target is cold after its start.
        cold_per_s: What a cold target bears, over the whole fleet; 0 if it is not known.
    """

    service: str
    health_path: str
    max_connections: int
    cold_ms: float
    cold_per_s: float


@frozen
class Workspace:
    """Describe a workspace, its keys and its limit over the whole fleet.

    Attributes:
        priority: Goes before the priority of the route; None if it has none of its own.
        rate_per_s: 0 for no limit.
        burst: In requests.
        allowed_regions: Where its requests may run; empty for anywhere.
    """

    workspace: str
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


@frozen
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@frozen(slots=False)
class RoutingTable:
    """Hold one accepted configuration; a later one has a higher version."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceRule, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits = field()

    @cached_property
    def _routes_by_host(self) -> dict[str, tuple[RouteRule, ...]]:
        """Return the routes of each host, those with the longest prefix first."""
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
        """Return the workspaces by their names."""
        return {workspace.workspace: workspace for workspace in self.workspaces}

    @cached_property
    def services_by_name(self) -> dict[str, ServiceRule]:
        """Return the services by their names."""
        return {service.service: service for service in self.services}

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a host with the longest prefix of the path, None if none fits."""
        routes = self._routes_by_host.get(host.lower().partition(":")[0], ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, None if none does."""
        return self._workspaces_by_key.get(key)
