"""Model orders to move a service to a version, and the evidence of VMs."""

from enum import Enum

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.rollout.const import EVIDENCE_KIND, VERDICT_KIND


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
    """Hold what one VM saw of an order.

    Attributes:
        age_s: How long the VM has known the order, or another VM as it heard.
        counts: Requests and bad answers of each route, for the old and for the new version.
        old_in_flight: Requests that still run on the old version.
        moved: Whether all new requests go to the new version.
    """

    order_id: str
    age_s: float
    counts: dict[str, tuple[float, float, float, float]]
    old_in_flight: int
    moved: bool


@frozen
class RolloutVerdict:
    """Tell that a version is bad."""

    order_id: str
    reason: str


register_fact(EVIDENCE_KIND, RolloutEvidence)
register_fact(VERDICT_KIND, RolloutVerdict)
