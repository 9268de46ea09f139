"""Data models of service documents and the fleet document."""

from attrs import frozen

from wagtailbay.config.const import (
    DEFAULT_DEADLINE_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    SCHEMA_VERSION,
)


@frozen
class Route:
    """Handling of the requests that match a path prefix.

    Attributes:
        name: Name of the route, unique within the service.
        path_prefix: Matched after the ``/<service>`` prefix; the longest matching prefix wins.
        open: Whether requests are accepted without an API key.
        idempotent: Whether a request may run more than once.
        deadline_ms: Time limit for the complete response unless the caller sets one.
        idle_timeout_ms: Maximum time without receiving data from the target.
    """

    name: str
    path_prefix: str
    open: bool = False
    idempotent: bool = True
    deadline_ms: int = DEFAULT_DEADLINE_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


@frozen
class Target:
    """A backend process of a service."""

    target: str
    address: str
    availability_zone: str
    version: str
    slots: int
    connections: int = 400


@frozen
class WorkspaceLimit:
    """Fleet-wide rate limit of one workspace; burst is a number of requests."""

    workspace: str
    rate_per_s: float
    burst: float


@frozen
class RegionCapacity:
    """Maximum rate of requests of a service to the targets in one region."""

    region: str
    capacity_per_s: float


@frozen
class VersionPlan:
    """Plan to move a service's traffic from one version to another by a deadline.

    Attributes:
        max_step_ppm: Maximum increase of the new version's share per step.
        cap_per_s: Maximum requests per second to the new version; None for no limit.
    """

    old_version: str
    new_version: str
    start_unix_s: float
    deadline_unix_s: float
    max_step_ppm: int = 200_000
    cap_per_s: float | None = None


@frozen
class Drain:
    """Plan to move traffic away from a target, availability zone or region by a deadline.

    Attributes:
        kind: ``target``, ``availability_zone`` or ``region``.
        name: Name of the target, availability zone or region.
        max_step_ppm: Maximum decrease of the share per step; 1,000,000 stops in one step.
    """

    kind: str
    name: str
    start_unix_s: float
    deadline_unix_s: float
    max_step_ppm: int = 1_000_000


@frozen
class ServiceDocument:
    """Traffic configuration of one service."""

    service: str
    owner: str
    routes: tuple[Route, ...]
    targets: tuple[Target, ...]
    workspaces: tuple[WorkspaceLimit, ...]
    regions: tuple[RegionCapacity, ...]
    schema_version: int = SCHEMA_VERSION
    version_plan: VersionPlan | None = None
    drains: tuple[Drain, ...] = ()

    def route_for(self, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        matching = [route for route in self.routes if path.startswith(route.path_prefix)]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    def limit_for(self, workspace: str) -> WorkspaceLimit | None:
        """Return the rate limit of a workspace, or None if it may not call this service."""
        return next((w for w in self.workspaces if w.workspace == workspace), None)


@frozen
class AvailabilityZone:
    """An availability zone and the region that contains it."""

    availability_zone: str
    region: str


@frozen
class ClientBlock:
    """Maps a block of client addresses, such as ``203.0.113.0/24``, to a nearby zone."""

    block: str
    availability_zone: str


@frozen
class Link:
    """Bandwidth limit from one region to another, shared by all services."""

    from_region: str
    to_region: str
    capacity_mbit_per_s: float


@frozen
class FleetDocument:
    """Configuration shared by all services.

    Attributes:
        max_vms: Maximum number of entry processes alive at the same time; the minimum shares of
            VMs are derived from it.
        quorum_vms: Names of the VMs that count towards a quorum; if empty, every VM counts and a
            quorum is more than half of max_vms.
        client_blocks: Locations of clients; locate responses list the VMs of the client's zone
            first.
    """

    max_vms: int
    availability_zones: tuple[AvailabilityZone, ...]
    links: tuple[Link, ...] = ()
    schema_version: int = SCHEMA_VERSION
    quorum_vms: tuple[str, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()

    @property
    def voter_count(self) -> int:
        """Return the number of VMs of which a quorum requires more than half."""
        return len(self.quorum_vms) or self.max_vms

    def is_voter(self, vm: str) -> bool:
        """Return whether a VM counts towards a quorum."""
        return not self.quorum_vms or vm in self.quorum_vms

    def region_of(self, availability_zone: str) -> str | None:
        """Return the region of an availability zone, or None if it is unknown."""
        zones = self.availability_zones
        return next((z.region for z in zones if z.availability_zone == availability_zone), None)
