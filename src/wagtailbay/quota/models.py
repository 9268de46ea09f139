"""Model what VMs tell each other of the demand of workspaces."""

from typing import Self

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.quota.const import DEMAND_KIND


@frozen
class WorkspaceDemand:
    """Hold the requests a second that workspaces ask of one VM, admitted or not."""

    per_s: dict[str, float]

    def merge(self, other: Self) -> Self:
        """Return the demand of both."""
        total = dict(self.per_s)
        for name, per_s in other.per_s.items():
            total[name] = round(total.get(name, 0.0) + max(0.0, per_s), 2)
        return WorkspaceDemand(total)


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
