"""Retry budgets that grow with first attempts."""

from collections.abc import Callable

from attrs import define, field


@define
class RetryBudget:
    """Allows a fixed ratio of retries to first attempts.

    Each VM limits its own retries, so the ratio also holds for the fleet, apart from the tokens
    that each VM has accumulated.

    Attributes:
        ratio: Tokens gained by each first attempt.
        capacity: Returns the maximum number of accumulated tokens.
        tokens: Retries that are currently allowed.
        enabled: For tests only; False allows every retry.
    """

    ratio: float
    capacity: Callable[[], float]
    tokens: float
    enabled: bool = True

    def record_first_attempt(self) -> None:
        """Add the tokens gained by a first attempt."""
        self.tokens = min(self.capacity(), self.tokens + self.ratio)

    def take(self) -> bool:
        """Take the token for one retry; return False if none is available."""
        if self.enabled and self.tokens < 1.0:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


@define
class RetryBudgets:
    """A separate retry budget for each service.

    With a shared budget, a service whose targets reject requests would consume the tokens gained
    by all other services, and retry far more often than its own requests allow.

    Attributes:
        create_budget: Creates the budget of a service.
        budgets: Budget of each service, created on first use.
    """

    create_budget: Callable[[], RetryBudget]
    budgets: dict[str, RetryBudget] = field(factory=dict)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service, creating it if needed."""
        if service not in self.budgets:
            self.budgets[service] = self.create_budget()
        return self.budgets[service]
