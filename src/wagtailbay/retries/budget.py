"""Bound the share of retries in all tries."""

from attrs import define

from wagtailbay.entry.const import RETRY_CAPACITY, RETRY_RATIO, RETRY_START_TOKENS


@define
class RetryBudget:
    """Earn a part of a retry with each first try.

    Each VM's retries stay within the ratio of its own first tries, so those of the fleet do too,
    apart from the few start tokens of each VM.

    Attributes:
        enabled: For tests only; False allows every retry.
    """

    ratio: float = RETRY_RATIO
    capacity: float = RETRY_CAPACITY
    tokens: float = RETRY_START_TOKENS
    enabled: bool = True

    def earn(self) -> None:
        """Count a first try."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take the token of one retry; False if there is none."""
        if self.enabled and self.tokens < 1.0:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True
