"""Data models and protocols of target health."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from attrs import frozen

from wagtailbay.membership import Member, VmState


class TargetState(Enum):
    """State of a target as determined by a probe."""

    OK = "ok"
    DRAINING = "draining"
    FAILED = "failed"


class FailureReason(Enum):
    """Reason why a request to a target counts as a failure."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    SHED = "shed"


@frozen
class ProbeError:
    """Error of a probe without a valid response.

    Attributes:
        reported_unhealthy: Whether the target itself responded with a status other than 200.
    """

    message: str
    reported_unhealthy: bool = False


@frozen
class ReportedLoad:
    """Load that a target reports; in_flight includes running and queued requests."""

    in_flight: float
    slots: int


@frozen
class HealthResponse:
    """Response of a health endpoint; load is None if the response doesn't include it."""

    state: TargetState
    version: str | None
    load: ReportedLoad | None = None


@frozen
class TargetReport:
    """Probe result of one VM, published as the value of ``target_report`` facts.

    Attributes:
        load: None if the target didn't report a valid load.
    """

    service: str
    target: str
    state: TargetState
    load: ReportedLoad | None = None


@frozen
class TargetView:
    """Aggregated probe results of a target.

    Attributes:
        state: None if there is no fresh report.
        in_flight: Most recently reported load, decayed by its age; 0 if unknown.
        slots: Reported slots; None if unknown.
        reported_in_flight: Most recently reported load without decay; None if unknown.
    """

    state: TargetState | None = None
    in_flight: float = 0.0
    slots: int | None = None
    reported_in_flight: float | None = None


class TargetHealthSource(Protocol):
    """Provides the aggregated health of targets."""

    def view(self, service: str, target: str, now_s: float) -> TargetView:
        """Return the aggregated probe results of a target."""

    def generation(self, now_s: float) -> int:
        """Return a number that changes whenever a view changes other than by decay."""


class Members(Protocol):
    """Provides the VMs by state; implemented by ``membership.Roster``."""

    def with_state(self, *states: VmState) -> Sequence[Member]:
        """Return the VMs that are in any of the given states."""
