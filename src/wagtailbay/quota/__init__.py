"""Fleet-wide rate limiting of workspaces, with one owner for the rate of each."""

from wagtailbay.quota.bank import TokenBank
from wagtailbay.quota.models import RateExceeded, TokenGrant
from wagtailbay.quota.owners import RateOwners
from wagtailbay.quota.partition import grant_fraction
from wagtailbay.quota.quota import WorkspaceQuota

__all__ = [
    "RateExceeded",
    "RateOwners",
    "TokenBank",
    "TokenGrant",
    "WorkspaceQuota",
    "grant_fraction",
]
