"""Model the traffic to send and what came back."""

from collections.abc import Awaitable, Callable

from attrs import field, frozen

from wagtailbay_bench.load.const import DEFAULT_TIMEOUT_MS


@frozen
class TrafficClass:
    """Describe one kind of caller.

    Attributes:
        path: With ``{n}`` replaced by the request's number.
        availability_zones: Where its clients are; they take turns.
        within_rate: Whether the class stays inside its workspace's rate.
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
    """Describe something done to the deployment at a time after the start."""

    at_s: float
    label: str
    action: Callable[[], Awaitable[None]]


@frozen
class LoadPlan:
    """Describe a bounded run."""

    classes: tuple[TrafficClass, ...]
    duration_s: float
    seed: int
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    max_requests: int = 200_000
    scheduled_actions: tuple[ScheduledAction, ...] = field(factory=tuple)


@frozen
class Sample:
    """Hold one request.

    Attributes:
        due_s: When it was due after the start; latency counts from then, so that a stalled sender
            hides no waiting time (coordinated omission).
        status: 0 where no whole answer came.
        code: The refusal's code, the transport failure, or empty.
        run: ``not_run``, ``unknown`` or empty.
        tries: How many VMs the client asked.
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
        """Tell whether the caller got the service's own answer."""
        return 200 <= self.status < 400
