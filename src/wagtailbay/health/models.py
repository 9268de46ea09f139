"""Model what is known about the state of targets."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from attrs import frozen

from wagtailbay.membership import Member, VmState


class TargetState(Enum):
    """Name the states that a probe can find."""

    OK = "ok"
    DRAINING = "draining"
    FAILED = "failed"


class FailureReason(Enum):
    """Name the signs by which requests show that a target is unfit."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    SHED = "shed"


@frozen
class ProbeError:
    """Report a probe without a usable answer; refused if the target itself said that it is ill."""

    message: str
    reported_unhealthy: bool = False


@frozen
class ReportedLoad:
    """Hold the load that a target states; in_flight counts running and queued requests."""

    in_flight: float
    slots: int


@frozen
class HealthResponse:
    """Hold the answer of a health endpoint; load is None where it does not state the load."""

    state: TargetState
    version: str | None
    load: ReportedLoad | None = None


@frozen
class TargetReport:
    """Hold what one prober found; the value of ``target_report`` facts.

    Attributes:
        load: None where the target gave no usable answer about it.
    """

    service: str
    target: str
    state: TargetState
    load: ReportedLoad | None = None


@frozen
class TargetView:
    """Hold what all probers together say of a target.

    Attributes:
        state: None where no report is fresh.
        in_flight: The newest reported load, decayed by its age; 0 where unknown.
        slots: The reported slots, None where unknown.
        reported_in_flight: The newest reported load without decay, None where unknown.
    """

    state: TargetState | None = None
    in_flight: float = 0.0
    slots: int | None = None
    reported_in_flight: float | None = None


class TargetHealthSource(Protocol):
    """Tell the state of targets."""

    def view(self, service: str, target: str, now_s: float) -> TargetView:
        """Return what is known of a target."""

    def generation(self, now_s: float) -> int:
        """Return a number that differs whenever what is known, but for its age, has changed."""


class Members(Protocol):
    """Tell which VMs are in a state; ``membership.Roster`` does."""

    def with_state(self, *states: VmState) -> Sequence[Member]:
        """Return the VMs in any of the states."""
