"""Earn retries with first tries."""

from collections.abc import Callable

from attrs import define


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

    def earn(self) -> None:
        """Count a first try."""
        self.tokens = min(self.capacity(), self.tokens + self.ratio)

    def take(self) -> bool:
        """Take the token of one retry; False if there is none."""
        if self.enabled and self.tokens < 1.0:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True
