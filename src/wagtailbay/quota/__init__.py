"""Fleet-wide rate limiting of workspaces, with shares that follow the demand at each VM."""

from wagtailbay.quota.borrow import TokenBorrower
from wagtailbay.quota.models import RateExceeded, WorkspaceDemand
from wagtailbay.quota.share import WorkspaceQuota

__all__ = ["RateExceeded", "TokenBorrower", "WorkspaceDemand", "WorkspaceQuota"]
