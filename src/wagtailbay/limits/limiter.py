"""Admit requests within the workspaces' limits."""

from typing import Protocol

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import ServiceDocument, WorkspaceLimit
from wagtailbay.limits.bucket import TokenBucket
from wagtailbay.limits.const import BUDGET_PREFIX
from wagtailbay.refusals import Refusal, not_run


class ShareSource(Protocol):
    """Tell which part of a budget this VM may use."""

    def share(self, budget: str, now_s: float) -> float:
        """Return this VM's share of a budget, from 0 to 1."""

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Record that an amount was asked for, whether it was admitted or not."""


@define
class WorkspaceLimiter:
    """Admit requests while this VM's share of the workspace's tokens lasts.

    Attributes:
        started_s: When this VM began to count; a new bucket holds what it would have gained since.
    """

    shares: ShareSource
    started_s: float
    buckets: dict[str, TokenBucket] = field(factory=dict)

    def admit(
        self, service: ServiceDocument, workspace: str, now_s: float
    ) -> Result[None, Refusal]:
        """Take one token of a workspace for a service."""
        limit = service.limit_for(workspace)
        if limit is None:
            return Err(not_run(403, "workspace_not_allowed", f"unknown workspace {workspace!r}"))
        budget = f"{BUDGET_PREFIX}{service.service}/{workspace}"
        self.shares.record_demand(budget, 1.0, now_s)
        bucket = self._bucket(budget, limit, now_s)
        if bucket.take(1.0, now_s):
            return Ok(None)
        wait_ms = round(1000 * (1.0 - bucket.level) / max(bucket.rate_per_s, 1e-3))
        message = f"workspace {workspace!r} is above its rate of {limit.rate_per_s:g}/s"
        return Err(not_run(429, "rate_exceeded", message, retry_after_ms=wait_ms))

    def _bucket(self, budget: str, limit: WorkspaceLimit, now_s: float) -> TokenBucket:
        share = self.shares.share(budget, now_s)
        rate_per_s, capacity = limit.rate_per_s * share, limit.burst * share
        bucket = self.buckets.get(budget)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, capacity, level=0.0, updated_s=self.started_s)
            self.buckets[budget] = bucket
        if (bucket.rate_per_s, bucket.capacity) != (rate_per_s, capacity):
            bucket.resize(rate_per_s, capacity, now_s)
        return bucket
