"""Facts that VMs exchange on the demand of workspaces, and the result of an exceeded rate."""

from typing import Self

from attrs import frozen

from wagtailbay.membership.aggregate import add_counts
from wagtailbay.membership.codec import register_fact
from wagtailbay.quota.const import DEMAND_KIND


@frozen
class WorkspaceDemand:
    """Request rate of each workspace at one or more VMs, including refused requests."""

    per_s: dict[str, float]

    def merge(self, other: Self) -> Self:
        """Return the sum of both demands."""
        total = add_counts(self.per_s, other.per_s)
        return WorkspaceDemand({name: round(per_s, 2) for name, per_s in total.items()})


@frozen
class DemandFact:
    """Demand at one VM, and at other VMs if it is the delegate of its cell.

    Attributes:
        own: Demand at this VM.
        cell: Demand at all VMs of the cell, None unless the VM is its delegate.
        rest: Demand at all VMs outside the cell, None unless the VM is its delegate.
    """

    own: WorkspaceDemand
    cell: WorkspaceDemand | None = None
    rest: WorkspaceDemand | None = None


@frozen
class RateExceeded:
    """Result of a request that exceeds this VM's share of the workspace's rate.

    Attributes:
        share_per_s: Requests per second that this VM currently admits.
    """

    share_per_s: float
    retry_after_ms: float


register_fact(DEMAND_KIND, DemandFact)
