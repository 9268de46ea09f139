"""Hold each workspace to its rate and burst over the whole fleet."""

from wagtailbay.quota.borrow import TokenBorrower
from wagtailbay.quota.models import RateExceeded, WorkspaceDemand
from wagtailbay.quota.share import WorkspaceQuota

__all__ = ["RateExceeded", "TokenBorrower", "WorkspaceDemand", "WorkspaceQuota"]
