"""Hold workspaces to their rate and burst over the whole fleet."""

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
