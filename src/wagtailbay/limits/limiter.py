"""Enforce the rate limits of workspaces."""

from collections.abc import Callable
from math import isfinite

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import ServiceDocument
from wagtailbay.limits.models import BudgetLimit, ShareSource, TokenAccount, workspace_budget
from wagtailbay.limits.queue import FairQueue
from wagtailbay.refusals import Refusal, not_run

# Retry-after time when this VM's own rate never yields a whole token.
DEFAULT_RETRY_AFTER_MS = 1_000


@define
class WorkspaceLimiter:
    """Admits requests while this VM's account of the workspace has tokens.

    Attributes:
        shares: Supplies this VM's account of each budget.
        clock: Returns the current time in seconds, read again after a wait.
        queues: Queue of waiting requests for each budget.
    """

    shares: ShareSource
    clock: Callable[[], float]
    queues: dict[str, FairQueue] = field(factory=dict)

    async def admit(
        self, service: ServiceDocument, workspace: str, now_s: float
    ) -> Result[None, Refusal]:
        """Take one token of the workspace's budget for a service, waiting up to 200 ms for it."""
        limit = service.limit_for(workspace)
        if limit is None:
            return Err(not_run(403, "workspace_not_allowed", f"unknown workspace {workspace!r}"))
        budget = workspace_budget(service.service, workspace)
        self.shares.record_demand(budget, 1.0, now_s)
        account = self.shares.account(budget, BudgetLimit(limit.rate_per_s, limit.burst), now_s)
        queue = self.queues.setdefault(budget, FairQueue(self.clock))
        if await queue.take(account, workspace):
            return Ok(None)
        message = f"workspace {workspace!r} is above its rate of {limit.rate_per_s:g}/s"
        return Err(
            not_run(429, "rate_exceeded", message, retry_after_ms=self._retry_after_ms(account))
        )

    def _retry_after_ms(self, account: TokenAccount) -> int:
        wait_s = account.wait_s(1.0, self.clock())
        return max(1, round(1000 * wait_s)) if isfinite(wait_s) else DEFAULT_RETRY_AFTER_MS
