"""Hold each workspace to its rate and burst over the whole fleet."""

from wagtailbay.quota.models import WorkspaceDemand
from wagtailbay.quota.share import WorkspaceQuota

__all__ = ["WorkspaceDemand", "WorkspaceQuota"]
