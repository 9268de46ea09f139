"""Model a request's need of a target and the outcome of the choice."""

from enum import Enum

from attrs import frozen

from wagtailbay.registry import RegisteredTarget


@frozen
class VersionFilter:
    """Restrict a choice to one version, or to all others.

    Attributes:
        wanted: False excludes the version in place of requiring it.
    """

    version: str
    include: bool = True

    def admits(self, version: str) -> bool:
        """Tell whether a target of a version may be chosen."""
        return (version == self.version) is self.include


@frozen
class PlacementQuery:
    """Describe the request that needs a target.

    Attributes:
        affinity: Names the object that it concerns, None if targets do not care.
        latency_goal_ms: An answer within this time is in good time.
        excluded: Targets that it was sent to before.
        allowed_regions: Where it may run; empty for anywhere.
        is_large: Whether its bytes and those of its answer are many.
    """

    service: str
    affinity: str | None
    latency_goal_ms: float
    excluded: frozenset[str] = frozenset()
    allowed_regions: frozenset[str] = frozenset()
    version: VersionFilter | None = None
    is_large: bool = False


class PlacementReason(Enum):
    """Name why a target was chosen, for logs."""

    PREFERRED = "preferred"
    OTHER = "other"
    SPILLED = "spilled"
    QUEUED = "queued"


@frozen
class Placement:
    """Assign a request to a target.

    Attributes:
        load: The load that the target was believed to have, in requests.
    """

    target: RegisteredTarget
    region: str
    load: float
    reason: PlacementReason


@frozen
class PlacementFailure:
    """Say why no target was chosen and when to come back."""

    reason: str
    retry_after_ms: float


@frozen
class LoadReport:
    """Hold what a target said of its load: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


class TargetOutcome(Enum):
    """Name what one try shows of a target."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    GIVEN_UP = "given_up"
