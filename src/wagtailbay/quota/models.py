"""Model what VMs tell each other of the demand of workspaces."""

from typing import Self

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.membership.fold import add_counts
from wagtailbay.quota.const import DEMAND_KIND


@frozen
class WorkspaceDemand:
    """Hold the requests a second that workspaces ask of one VM, admitted or not."""

    per_s: dict[str, float]

    def merge(self, other: Self) -> Self:
        """Return the demand of both."""
        total = add_counts(self.per_s, other.per_s)
        return WorkspaceDemand({name: round(per_s, 2) for name, per_s in total.items()})


@frozen
class DemandFact:
    """Hold the demand at one VM, and of other VMs if it speaks for its cell."""

    own: WorkspaceDemand
    cell: WorkspaceDemand | None = None
    rest: WorkspaceDemand | None = None


@frozen
class RateExceeded:
    """Say that a VM's share of a workspace's rate is used up.

    Attributes:
        share_per_s: The requests a second that this VM may admit now.
    """

    share_per_s: float
    retry_after_ms: float


register_fact(DEMAND_KIND, DemandFact)
