"""Data model of moves between versions, their evidence and the version of a request."""

from enum import Enum
from operator import add, sub
from typing import Protocol

from attrs import frozen

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.shift.const import CONTROL_SHARE_PPM, LATENCY_BUCKETS, PPM
from wagtailbay.steer import AttemptReport


@frozen
class VersionChoice:
    """Version that must serve a request; None allows any version."""

    version: str | None


class VersionPicker(Protocol):
    """Pick the version of each request and record the outcome."""

    def pick(self, service: ServiceDocument, route: Route, now_s: float) -> VersionChoice:
        """Pick the version for a new request."""

    def record(
        self,
        service: ServiceDocument,
        route: Route,
        version: str,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        """Record the outcome of one attempt on a version."""


class ValueLookup(Protocol):
    """Lookup of replicated objects, implemented by ``replica.Replica``."""

    def value(self, key: str) -> object | None:
        """Return the value of an object, None if it is unknown or deleted."""


class Lease(Protocol):
    """Lease on the control-plane duties."""

    def is_holder(self, now_s: float) -> bool:
        """Return whether this VM holds the lease."""


class FleetContact(Protocol):
    """Last contact of this VM with the rest of the fleet."""

    def last_contact_s(self) -> float | None:
        """Return when a peer or the store last answered, None if neither ever did."""


class VersionCap(Protocol):
    """Cap on the request rate of a new version over the whole fleet."""

    def try_acquire(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Take a token for one request; return False if none is left."""


@frozen
class MoveError:
    """Error value for an invalid plan, object or fact."""

    message: str


@frozen
class Step:
    """Planned step: the new version's share from a point in time."""

    at_unix_s: float
    share_ppm: int


@frozen
class MovePlan:
    """Plan of one move.

    Attributes:
        move: Identifier of the plan; a changed version plan gets a new one.
        steps: Steps from the canary to all traffic; empty if the plan was rejected.
    """

    move: str
    old_version: str
    new_version: str
    start_unix_s: float
    deadline_unix_s: float
    max_step_ppm: int
    cap_per_s: float | None
    steps: tuple[Step, ...]


class MovePhase(Enum):
    """Phase of a move."""

    RUNNING = "running"
    WATCHING = "watching"
    FINISHED = "finished"
    ROLLED_BACK = "rolled_back"


@frozen
class MoveState:
    """Progress of a move, stored in the object ``moves/<service>``.

    Attributes:
        step: Index of the current step in the plan, -1 before the first step.
        step_unix_s: When the step or the final phase began.
        generation: Increases with each lease holder that takes over the move.
        holder: VM and incarnation that wrote the state.
        mark: Random text that identifies the write if its answer is lost.
        reason: Why the move waits or was rolled back.
    """

    plan: MovePlan
    phase: MovePhase
    step: int
    step_unix_s: float
    generation: int = 1
    holder: str = ""
    mark: str = ""
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Return whether the move has finished or was rolled back."""
        return self.phase in (MovePhase.FINISHED, MovePhase.ROLLED_BACK)

    @property
    def share_ppm(self) -> int:
        """Return the new version's share; the watch phase keeps a control group on the old one."""
        if self.phase is MovePhase.FINISHED:
            return PPM
        if self.phase is MovePhase.WATCHING:
            return PPM - min(CONTROL_SHARE_PPM, self.plan.max_step_ppm)
        if self.phase is MovePhase.ROLLED_BACK or self.step < 0:
            return 0
        return self.plan.steps[self.step].share_ppm


@frozen
class Counts:
    """Counts of attempts; ``latencies`` counts answered attempts by latency bucket."""

    requests: int = 0
    failures: int = 0
    latencies: tuple[int, ...] = (0,) * LATENCY_BUCKETS

    def __add__(self, other: "Counts") -> "Counts":
        if not other.requests:
            return self
        latencies = tuple(map(add, self.latencies, other.latencies))
        return Counts(self.requests + other.requests, self.failures + other.failures, latencies)

    def __sub__(self, other: "Counts") -> "Counts":
        latencies = tuple(map(sub, self.latencies, other.latencies))
        return Counts(self.requests - other.requests, self.failures - other.failures, latencies)

    @property
    def is_non_negative(self) -> bool:
        """Return whether no count is negative."""
        return min(self.requests, self.failures, *self.latencies) >= 0


@frozen
class VersionCounts:
    """Counts of both versions in the same period."""

    old: Counts = Counts()
    new: Counts = Counts()

    def __add__(self, other: "VersionCounts") -> "VersionCounts":
        return VersionCounts(self.old + other.old, self.new + other.new)

    def __sub__(self, other: "VersionCounts") -> "VersionCounts":
        return VersionCounts(self.old - other.old, self.new - other.new)


@frozen
class Evidence:
    """Counts of one VM on one route since the move began; the value of ``evidence`` facts.

    One fact holds both versions, so that a reader always compares the same period.
    """

    service: str
    move: str
    route: str
    counts: VersionCounts


@frozen
class Stop:
    """Order to stop a move because the new version is bad; the value of ``stop`` facts."""

    service: str
    move: str
    version: str
    reason: str
