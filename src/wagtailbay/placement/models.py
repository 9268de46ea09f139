"""Data models for target selection: query, placement, load report and outcome."""

from collections.abc import Mapping
from enum import Enum
from typing import Self

from attrs import frozen

from wagtailbay.placement.const import USUAL_PACE_PERCENT
from wagtailbay.registry import RegisteredTarget


@frozen
class VersionFilter:
    """Restrict the selection to one version, or to all versions but one.

    Attributes:
        include: True requires the version; False excludes it.
    """

    version: str
    include: bool = True

    def admits(self, version: str) -> bool:
        """Return whether a target of the given version may be selected."""
        return (version == self.version) is self.include


class SelectionTurn(Enum):
    """Turn of a request in the queue for capacity when it selects a target.

    Attributes:
        FIRST: It selects for the first time, and nobody waits before it.
        BEHIND: It selects for the first time, but others wait for the targets of this region.
        AGAIN: It has waited since an earlier selection, which counted it as demand.
    """

    FIRST = "first"
    BEHIND = "behind"
    AGAIN = "again"


@frozen
class PlacementQuery:
    """Describe a request for which a target is selected.

    Attributes:
        affinity: Affinity key of the object that the request accesses; None without affinity.
        latency_goal_ms: Latency within which the request should be answered.
        excluded: Targets that were tried before.
        allowed_regions: Regions in which the request may run; empty for any region.
        version: Restricts the versions of the target; None for any version.
        is_large: Whether the request and its answer are expected to be large.
        turn: Turn of the request in the queue for capacity.
    """

    service: str
    affinity: str | None
    latency_goal_ms: float
    excluded: frozenset[str] = frozenset()
    allowed_regions: frozenset[str] = frozenset()
    version: VersionFilter | None = None
    is_large: bool = False
    turn: SelectionTurn = SelectionTurn.FIRST

    def admits(self, target: RegisteredTarget, region: str) -> bool:
        """Return whether the request may run at a target in a region, whatever its state."""
        if target.entry.target in self.excluded:
            return False
        if self.version is not None and not self.version.admits(target.entry.version):
            return False
        return not self.allowed_regions or region in self.allowed_regions


@frozen
class VmLocation:
    """Where this VM is, and in which regions targets are.

    Attributes:
        regions: Maps each availability zone to its region.
    """

    availability_zone: str
    regions: Mapping[str, str]

    @property
    def region(self) -> str:
        """Return the region of this VM, or an empty string if its zone is not mapped."""
        return self.regions.get(self.availability_zone, "")

    def region_of(self, target: RegisteredTarget) -> str:
        """Return the region of a target."""
        return self.regions.get(target.entry.availability_zone, "")


class PlacementReason(Enum):
    """Why a target was selected, as logged."""

    PREFERRED = "preferred"
    CACHED = "cached"
    OTHER = "other"
    SPILLED = "spilled"
    QUEUED = "queued"


@frozen
class Placement:
    """The target that was selected for a request.

    Attributes:
        load: Estimated number of requests at the target at the time of the selection.
        affinity: Affinity key of the object; None without affinity.
        holds_object: Whether the target has probably handled the object lately.
        has_local: Whether the region of this VM has targets; True if the request may not use all.
    """

    target: RegisteredTarget
    region: str
    load: float
    reason: PlacementReason
    affinity: str | None = None
    holds_object: bool = False
    has_local: bool = True

    @property
    def is_beyond_local(self) -> bool:
        """Return whether the request runs elsewhere, though the region of this VM has targets."""
        return self.reason is PlacementReason.SPILLED and self.has_local


class PlacementFailureKind(Enum):
    """Kind of a failed selection; only one for lack of capacity is worth waiting for."""

    FULL = "full"
    UNUSABLE = "unusable"
    PAUSED = "paused"


@frozen
class PlacementFailure:
    """Why no target could be selected, and when the caller should retry."""

    kind: PlacementFailureKind
    reason: str
    retry_after_ms: float

    @classmethod
    def full(cls, retry_after_ms: float, reason: str = "all targets are full") -> Self:
        """Return the failure of a selection that found no capacity."""
        return cls(PlacementFailureKind.FULL, reason, retry_after_ms)

    @classmethod
    def unusable(cls, retry_after_ms: float) -> Self:
        """Return the failure of a selection without a target that may be used."""
        return cls(PlacementFailureKind.UNUSABLE, "no usable target", retry_after_ms)

    @classmethod
    def paused(cls, retry_after_ms: float) -> Self:
        """Return the failure of a selection among targets that want no requests."""
        return cls(PlacementFailureKind.PAUSED, "all targets asked for a pause", retry_after_ms)

    @property
    def is_full(self) -> bool:
        """Return whether only capacity is missing."""
        return self.kind is PlacementFailureKind.FULL


@frozen
class LoadReport:
    """Load that a target reports: running and waiting requests, and its number of slots.

    Attributes:
        pace_percent: How long work takes at the target at this moment: 100 as usual, 250 means 2.5
            times as long.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: float = USUAL_PACE_PERCENT

    @property
    def pace(self) -> float:
        """Return how many times as long as usual work takes at the target."""
        return self.pace_percent / USUAL_PACE_PERCENT


class TargetOutcome(Enum):
    """The outcome of one attempt, as evidence of the target's health."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    GIVEN_UP = "given_up"
