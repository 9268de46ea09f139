"""Model what VMs tell each other of the demand of workspaces."""

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.quota.const import DEMAND_KIND


@frozen
class WorkspaceDemand:
    """Hold the requests a second that workspaces ask of one VM, admitted or not."""

    per_s: dict[str, float]


@frozen
class RateExceeded:
    """Say that a VM's share of a workspace's rate is used up.

    Attributes:
        share_per_s: The requests a second that this VM may admit now.
    """

    share_per_s: float
    retry_after_ms: float


register_fact(DEMAND_KIND, WorkspaceDemand)
