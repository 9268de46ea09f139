"""Fleet-wide rate limiting of workspaces, with one owner for the rate of each."""

from wagtailbay.quota.bank import TokenBank
from wagtailbay.quota.calls import TokenCaller, TokenClient
from wagtailbay.quota.models import NOT_THE_OWNER, RateExceeded
from wagtailbay.quota.owners import RateOwners
from wagtailbay.quota.partition import grant_fraction
from wagtailbay.quota.quota import WorkspaceQuota

__all__ = [
    "NOT_THE_OWNER",
    "RateExceeded",
    "RateOwners",
    "TokenBank",
    "TokenCaller",
    "TokenClient",
    "WorkspaceQuota",
    "grant_fraction",
]
