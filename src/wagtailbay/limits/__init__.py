"""Hold workspaces to their rate and burst over the whole fleet."""

from wagtailbay.limits.bucket import TokenBucket
from wagtailbay.limits.limiter import ShareSource, WorkspaceLimiter

__all__ = ["ShareSource", "TokenBucket", "WorkspaceLimiter"]
