"""Rollout orders, their phases, and the evidence that VMs exchange."""

from enum import Enum
from typing import Self

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.rollout.const import EVIDENCE_KIND, VERDICT_KIND

RouteCounts = tuple[float, float, float, float]
"""Old version's answers and failures, then the new version's answers and failures."""


class RolloutPhase(Enum):
    """Phases of a rollout as shown to operators."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


@frozen
class RolloutOrder:
    """Operator's order to move a service to a version, with its stored phase.

    Attributes:
        duration_s: Time from the creation of the order to its deadline.
        created_revision: Store revision of the order's creation; distinguishes two orders for
            the same service.
        phase: Stored phase; ORDERED until one is written for this version.
    """

    service: str
    target_version: str
    duration_s: float
    created_revision: int
    phase: RolloutPhase = RolloutPhase.ORDERED

    @property
    def order_id(self) -> str:
        """Return the unique identifier of the order."""
        return f"{self.service}/{self.target_version}/{self.created_revision}"

    @property
    def ended(self) -> bool:
        """Return whether the rollout is complete or rolled back."""
        return self.phase in (RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK)


@frozen
class RolloutEvidence:
    """Observations of a rollout by one or more VMs.

    Attributes:
        age_s: Longest time that any of the VMs has known the order.
        counts: Answers and failures of each route, for the old and the new version.
        old_in_flight: Requests still running on the old version.
        vms: Number of VMs included.
        moved_vms: Number of these VMs that send all requests to the new version and have none
            running on the old one.
    """

    age_s: float
    counts: dict[str, RouteCounts]
    old_in_flight: int
    vms: int
    moved_vms: int

    def merge(self, other: Self) -> Self:
        """Return the combined evidence of both sets of VMs."""
        counts = dict(self.counts)
        for route, added in other.counts.items():
            known = counts.get(route, (0.0,) * len(added))
            counts[route] = tuple(round(a + b, 2) for a, b in zip(known, added, strict=True))
        return RolloutEvidence(
            max(self.age_s, other.age_s),
            counts,
            self.old_in_flight + other.old_in_flight,
            self.vms + other.vms,
            self.moved_vms + other.moved_vms,
        )


@frozen
class EvidenceFact:
    """Evidence of one VM, and of other VMs if it is the delegate of its cell.

    Attributes:
        own: Evidence of this VM.
        cell: Evidence of all VMs of the cell, None unless the VM is its delegate.
        rest: Evidence of all VMs outside the cell, None unless the VM is its delegate.
    """

    own: RolloutEvidence
    cell: RolloutEvidence | None = None
    rest: RolloutEvidence | None = None


@frozen
class RolloutVerdict:
    """Verdict that a version is failing, with the reason."""

    order_id: str
    reason: str


register_fact(EVIDENCE_KIND, EvidenceFact)
register_fact(VERDICT_KIND, RolloutVerdict)
