"""Earn retries with first tries."""

from collections.abc import Callable

from attrs import define, field


@define
class RetryBudget:
    """Earn a part of a retry with each first try.

    Each VM's retries stay within the ratio of its own first tries, so those of the fleet do too,
    apart from what each VM has saved up.

    Attributes:
        ratio: Retries for each first try.
        capacity: Returns the most retries that are saved up.
        tokens: Retries that may be made now.
        enabled: For tests only; False allows every retry.
    """

    ratio: float
    capacity: Callable[[], float]
    tokens: float
    enabled: bool = True

    def record_first_attempt(self) -> None:
        """Count a first try."""
        self.tokens = min(self.capacity(), self.tokens + self.ratio)

    def take(self) -> bool:
        """Take the token of one retry; False if there is none."""
        if self.enabled and self.tokens < 1.0:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


@define
class RetryBudgets:
    """Hold a retry budget for each service.

    A service whose targets turn requests away would otherwise use up what the requests of all
    other services have earned, and get far more than its own part.

    Attributes:
        create_budget: Builds the budget of one service.
        budgets: By service.
    """

    create_budget: Callable[[], RetryBudget]
    budgets: dict[str, RetryBudget] = field(factory=dict)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = self.create_budget()
        return self.budgets[service]
