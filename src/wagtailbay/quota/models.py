"""Model what VMs tell each other of the demand of workspaces."""

from attrs import frozen

from wagtailbay.membership.codec import register_fact
from wagtailbay.quota.const import DEMAND_KIND


@frozen
class WorkspaceDemand:
    """Hold the requests a second that workspaces ask of one VM, admitted or not."""

    per_s: dict[str, float]


register_fact(DEMAND_KIND, WorkspaceDemand)
