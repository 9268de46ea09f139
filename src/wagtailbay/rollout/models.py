"""Model orders to move a service to a version, and the evidence of VMs."""

from enum import Enum
from typing import Self

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.rollout.const import EVIDENCE_KIND, VERDICT_KIND

RouteCounts = tuple[float, float, float, float]
"""Answers of the old version, bad ones of these, and the same of the new version."""


class RolloutPhase(Enum):
    """Name the states of a rollout as operators read them."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


@frozen
class RolloutOrder:
    """Hold an operator's order and the state that was written for it.

    Attributes:
        created_revision: When the order was created; tells two orders for one service apart.
        duration_s: The time from the order to its deadline.
        phase: ORDERED while nothing was written for this version.
    """

    service: str
    target_version: str
    duration_s: float
    created_revision: int
    phase: RolloutPhase = RolloutPhase.ORDERED

    @property
    def order_id(self) -> str:
        """Return a name that no other order has."""
        return f"{self.service}/{self.target_version}/{self.created_revision}"

    @property
    def ended(self) -> bool:
        """Tell whether the rollout is over."""
        return self.phase in (RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK)


@frozen
class RolloutEvidence:
    """Hold what one or more VMs saw of an order.

    Attributes:
        age_s: How long any of the VMs has known the order.
        counts: Requests and bad answers of each route, for the old and for the new version.
        old_in_flight: Requests that still run on the old version.
        vms: How many VMs it is of.
        moved_vms: How many of them send all new requests to the new version.
    """

    age_s: float
    counts: dict[str, RouteCounts]
    old_in_flight: int
    vms: int
    moved_vms: int

    def merge(self, other: Self) -> Self:
        """Return what the VMs of both saw."""
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
    """Hold what one VM saw of an order, and other VMs if it speaks for its cell."""

    own: RolloutEvidence
    cell: RolloutEvidence | None = None
    rest: RolloutEvidence | None = None


@frozen
class RolloutVerdict:
    """Tell that a version is bad."""

    order_id: str
    reason: str


register_fact(EVIDENCE_KIND, EvidenceFact)
register_fact(VERDICT_KIND, RolloutVerdict)
