"""Token budgets of workspaces, regions, links and versions, and fair admission within them."""

from wagtailbay.limits.bucket import TokenBucket
from wagtailbay.limits.decay import DecayingRate
from wagtailbay.limits.limiter import WorkspaceLimiter
from wagtailbay.limits.models import (
    BudgetLimit,
    ShareSource,
    TokenAccount,
    link_budget,
    region_budget,
    version_budget,
    workspace_budget,
)
from wagtailbay.limits.queue import FairQueue

__all__ = [
    "BudgetLimit",
    "DecayingRate",
    "FairQueue",
    "ShareSource",
    "TokenAccount",
    "TokenBucket",
    "WorkspaceLimiter",
    "link_budget",
    "region_budget",
    "version_budget",
    "workspace_budget",
]
