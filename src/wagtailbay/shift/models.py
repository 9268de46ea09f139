"""Model moves between versions, their evidence and the choice for a request."""

from enum import Enum
from operator import add, sub
from typing import Protocol

from attrs import frozen

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.shift.const import CONTROL_SHARE_PPM, LATENCY_BUCKETS, PPM
from wagtailbay.steer import AttemptReport


@frozen
class VersionChoice:
    """Hold the version that must serve a request; None for any."""

    version: str | None


class VersionPicker(Protocol):
    """Pick versions and learn from the outcome."""

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
        """Record how a version served one try."""


class ValueLookup(Protocol):
    """Look up replicated objects; ``replica.Replica`` does."""

    def value(self, key: str) -> object | None:
        """Return an object's value; None if it is unknown or deleted."""


class Lease(Protocol):
    """Tell whether this VM performs control duties."""

    def is_holder(self, now_s: float) -> bool:
        """Tell whether this VM holds the lease."""


class FleetContact(Protocol):
    """Tell when this VM last heard of the rest of the fleet."""

    def last_contact_s(self) -> float | None:
        """Return when a peer or the store last answered, None if never."""


class VersionCap(Protocol):
    """Hold a new version to its requests a second over the whole fleet."""

    def try_acquire(
        self, service: ServiceDocument, version: str, cap_per_s: float, now_s: float
    ) -> bool:
        """Take the budget of one request; False if there is none."""


@frozen
class MoveError:
    """Report a plan or object that cannot be used."""

    message: str


@frozen
class Step:
    """Plan one step: the new version's share from a time on."""

    at_unix_s: float
    share_ppm: int


@frozen
class MovePlan:
    """Plan one move.

    Attributes:
        move: Identifies the plan; a changed document makes another move.
        steps: From the canary to the whole traffic; empty if the plan was refused.
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
    """Name the phases of a move."""

    RUNNING = "running"
    WATCHING = "watching"
    FINISHED = "finished"
    ROLLED_BACK = "rolled_back"


@frozen
class MoveState:
    """Hold how far a move is; the object ``moves/<service>``.

    Attributes:
        step: Index into the plan's steps, -1 before the first.
        step_unix_s: When the step was taken.
        generation: Grows with each lease holder that takes the move over.
        holder: The VM and incarnation that wrote it.
        mark: Random text of the write, which shows after a lost answer whose write it was.
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
        """Tell whether the move is over."""
        return self.phase in (MovePhase.FINISHED, MovePhase.ROLLED_BACK)

    @property
    def share_ppm(self) -> int:
        """Return the new version's share; the watch keeps a part for the old one to compare."""
        if self.phase is MovePhase.FINISHED:
            return PPM
        if self.phase is MovePhase.WATCHING:
            return PPM - min(CONTROL_SHARE_PPM, self.plan.max_step_ppm)
        if self.phase is MovePhase.ROLLED_BACK or self.step < 0:
            return 0
        return self.plan.steps[self.step].share_ppm


@frozen
class Counts:
    """Count tries; latencies holds those that were answered, by bucket."""

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
        """Tell whether no count is below 0."""
        return min(self.requests, self.failures, *self.latencies) >= 0


@frozen
class VersionCounts:
    """Hold the counts of both versions in the same period."""

    old: Counts = Counts()
    new: Counts = Counts()

    def __add__(self, other: "VersionCounts") -> "VersionCounts":
        return VersionCounts(self.old + other.old, self.new + other.new)

    def __sub__(self, other: "VersionCounts") -> "VersionCounts":
        return VersionCounts(self.old - other.old, self.new - other.new)


@frozen
class Evidence:
    """Hold what one VM saw on one route since the move began; the value of ``evidence`` facts.

    Both versions are in one fact, so a reader always compares the same period.
    """

    service: str
    move: str
    route: str
    counts: VersionCounts


@frozen
class Stop:
    """Say that a new version is bad; the value of ``stop`` facts."""

    service: str
    move: str
    version: str
    reason: str
