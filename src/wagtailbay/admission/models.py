"""Data models of the admission queue."""

from enum import Enum, IntEnum

import trio
from attrs import define, field, frozen

from wagtailbay.admission.const import DEFAULT_MAX_QUEUED


@frozen
class AdmissionSettings:
    """Settings of the admission queue.

    Attributes:
        wait_fraction: Part of its latency goal for which a request may wait; 0 disables the queue.
        max_queued: Maximum number of requests that wait on this VM.
    """

    wait_fraction: float = 0.0
    max_queued: int = DEFAULT_MAX_QUEUED


class Standing(IntEnum):
    """Place of a request among those of its priority; a lower value goes first."""

    RETURNING = 0
    NEW = 1
    EARLY = 2


class QueueOutcome(Enum):
    """What became of a request that found no capacity at once, as a metric label."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    REFUSED_AT_ONCE = "refused_at_once"
    TIMED_OUT = "timed_out"
    DISPLACED = "displaced"
    NO_TARGET = "no_target"
    LEFT = "left"


@frozen
class AdmissionRequest:
    """A request that asks for capacity of a service.

    Attributes:
        priority: Priority of its workspace, else of its route; 0 is the most urgent.
        workspace: Name of its workspace, empty on a public route without a known key.
        fingerprint: Identifies the request when its caller sends it again.
        received_s: When this VM received it.
        latency_goal_ms: Latency within which it should be answered.
        last_send_s: Time after which it is no longer sent to a target.
        is_idempotent: Whether the request may be repeated.
        is_retry: Whether a target has turned it away before; the queue does not delay it again
            before it has selected another target.
    """

    service: str
    priority: int
    workspace: str
    fingerprint: str
    received_s: float
    latency_goal_ms: float
    last_send_s: float
    is_idempotent: bool = False
    is_retry: bool = False

    @property
    def goal_s(self) -> float:
        """Return the time by which the request should be answered."""
        return self.received_s + self.latency_goal_ms / 1000

    def give_up_s(self, wait_fraction: float) -> float:
        """Return the time at which the request stops waiting."""
        wait_s = wait_fraction * self.latency_goal_ms / 1000
        return min(self.received_s + wait_s, self.last_send_s)


@define(eq=False)
class QueuedRequest:
    """A request in an admission queue.

    Attributes:
        give_up_s: Time at which it is refused if it has found no capacity.
        tried_epoch: Number of the queue's epoch in which it last found no capacity.
        displaced: Whether a request ahead of it took its place in the full queue.
        wake: Set when the request should select again or has been displaced.
    """

    priority: int
    workspace: str
    standing: Standing
    goal_s: float
    give_up_s: float
    tried_epoch: int = -1
    displaced: bool = False
    wake: trio.Event = field(factory=trio.Event)
