"""Model the documents of service teams and of the fleet."""

from attrs import frozen

from wagtailbay.config.const import (
    DEFAULT_DEADLINE_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    SCHEMA_VERSION,
)


@frozen
class Route:
    """Describe the requests under one path prefix.

    Attributes:
        name: Its name, unique in the service.
        path_prefix: Matched after the service's own ``/<service>`` prefix; the longest one wins.
        open: Whether callers need no key.
        idempotent: Whether a request may run more than once.
        deadline_ms: Time for a whole answer where the caller sets none.
        idle_timeout_ms: Longest time without a byte from the target.
    """

    name: str
    path_prefix: str
    open: bool = False
    idempotent: bool = True
    deadline_ms: int = DEFAULT_DEADLINE_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


@frozen
class Target:
    """Describe one back-end process of a service."""

    target: str
    address: str
    availability_zone: str
    version: str
    slots: int
    connections: int = 400


@frozen
class WorkspaceLimit:
    """Limit one workspace's requests over the whole fleet; burst in requests."""

    workspace: str
    rate_per_s: float
    burst: float


@frozen
class RegionCapacity:
    """Limit the requests that a service may send to one region."""

    region: str
    capacity_per_s: float


@frozen
class VersionPlan:
    """Move a service's traffic from one version to another by a deadline.

    Attributes:
        max_step_ppm: The most by which one step may raise the new version's share.
        cap_per_s: The most requests a second that the new version may receive, None for no cap.
    """

    old_version: str
    new_version: str
    start_unix_s: float
    deadline_unix_s: float
    max_step_ppm: int = 200_000
    cap_per_s: float | None = None


@frozen
class Drain:
    """Move work away from one target, availability zone or region by a deadline.

    Attributes:
        kind: ``target``, ``availability_zone`` or ``region``.
        name: Which one.
        max_step_ppm: The most by which one step may lower its share; 1,000,000 stops at once.
    """

    kind: str
    name: str
    start_unix_s: float
    deadline_unix_s: float
    max_step_ppm: int = 1_000_000


@frozen
class ServiceDocument:
    """Say how one service's traffic is steered."""

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
        """Return the route with the longest prefix of the path, or None."""
        matching = [route for route in self.routes if path.startswith(route.path_prefix)]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    def limit_for(self, workspace: str) -> WorkspaceLimit | None:
        """Return the workspace's limit, or None if it may not call."""
        return next((w for w in self.workspaces if w.workspace == workspace), None)


@frozen
class AvailabilityZone:
    """Place an availability zone in its region."""

    availability_zone: str
    region: str


@frozen
class ClientBlock:
    """Assign a block of client addresses, such as ``203.0.113.0/24``, to a near zone."""

    block: str
    availability_zone: str


@frozen
class Link:
    """Limit what passes from one region to another, shared by all services."""

    from_region: str
    to_region: str
    capacity_mbit_per_s: float


@frozen
class FleetDocument:
    """Describe what all services share.

    Attributes:
        max_vms: The most entry processes ever alive at once; floors rest on it.
        quorum_vms: The names of the VMs that count for quorums; without names any VM counts, and
            a quorum is more than half of max_vms.
        client_blocks: Where clients are; locate answers start with the VMs of their zone.
    """

    max_vms: int
    availability_zones: tuple[AvailabilityZone, ...]
    links: tuple[Link, ...] = ()
    schema_version: int = SCHEMA_VERSION
    quorum_vms: tuple[str, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()

    @property
    def voter_count(self) -> int:
        """Return of how many VMs a quorum is more than half."""
        return len(self.quorum_vms) or self.max_vms

    def is_voter(self, vm: str) -> bool:
        """Tell whether a VM counts for quorums."""
        return not self.quorum_vms or vm in self.quorum_vms

    def region_of(self, availability_zone: str) -> str | None:
        """Return the region of an availability zone, or None if it is unknown."""
        zones = self.availability_zones
        return next((z.region for z in zones if z.availability_zone == availability_zone), None)
