"""Data classes of a load plan and of the result of each request."""

from collections.abc import Awaitable, Callable

from attrs import field, frozen

from wagtailbay_bench.load.const import DEFAULT_TIMEOUT_MS


@frozen
class TrafficClass:
    """One class of similar requests from one workspace to one service.

    Attributes:
        path: Request path, in which ``{n}`` is replaced by the sequence number of the request.
        availability_zones: Locations of the clients, used in round-robin order.
        within_rate: Whether the traffic stays within the rate limit of its workspace.
    """

    name: str
    service: str
    path: str
    workspace: str
    rate_per_s: float
    availability_zones: tuple[str, ...]
    method: str = "GET"
    idempotent: bool = True
    body_bytes: int = 0
    within_rate: bool = True


@frozen
class ScheduledAction:
    """Action on the deployment, such as a fault or a drain, at a time after the start."""

    at_s: float
    label: str
    action: Callable[[], Awaitable[None]]


@frozen
class LoadPlan:
    """Load run that is bounded in duration and number of requests."""

    classes: tuple[TrafficClass, ...]
    duration_s: float
    seed: int
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    max_requests: int = 200_000
    scheduled_actions: tuple[ScheduledAction, ...] = field(factory=tuple)


@frozen
class Sample:
    """Result of one request.

    Attributes:
        due_s: Scheduled send time in seconds after the start. Latency is measured from this time,
            so that a stalled sender does not hide waiting time (coordinated omission).
        status: HTTP status; 0 if no complete response was received.
        code: Error code of the response, kind of transport failure, or empty.
        run: Whether a failed request was run, as its error states it: ``not_run``, ``unknown`` or
            empty.
        attempts: Number of VMs that the client sent the request to.
    """

    traffic_class: str
    workspace: str
    due_s: float
    latency_ms: float
    status: int
    code: str
    run: str
    vm: str
    target: str
    version: str
    idempotency_key: str
    attempts: int

    @property
    def answered(self) -> bool:
        """Whether the request succeeded with a 2xx or 3xx status."""
        return 200 <= self.status < 400
