"""Token bucket with an adjustable rate and capacity."""

from math import inf

from attrs import define

from wagtailbay.limits.const import ROUNDING_TOLERANCE


@define
class TokenBucket:
    """Token bucket that refills at a rate up to a capacity.

    Attributes:
        rate_per_s: Tokens added per second.
        capacity: Maximum number of tokens.
        level: Tokens at the time updated_s; may be negative after charge().
    """

    rate_per_s: float
    capacity: float
    level: float
    updated_s: float

    def refill(self, now_s: float) -> None:
        """Add the tokens due since the last update."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.level = min(self.capacity, self.level + elapsed_s * self.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)

    def take(self, tokens: float, now_s: float) -> bool:
        """Remove tokens if enough are available; return whether they were removed."""
        self.refill(now_s)
        if self.level < tokens - ROUNDING_TOLERANCE:
            return False
        self.level -= tokens
        return True

    def charge(self, tokens: float, now_s: float) -> None:
        """Remove tokens for usage that has already happened; the level may become negative."""
        self.refill(now_s)
        self.level -= tokens

    def add_tokens(self, tokens: float) -> None:
        """Add tokens received from another bucket, up to the capacity."""
        self.level = min(self.capacity, self.level + tokens)

    def wait_s(self, tokens: float) -> float:
        """Return the time from updated_s until enough tokens are available, infinity if never."""
        if self.level >= tokens - ROUNDING_TOLERANCE:
            return 0.0
        if self.capacity < tokens - ROUNDING_TOLERANCE or self.rate_per_s <= 0:
            return inf
        return (tokens - self.level) / self.rate_per_s

    def resize(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change rate and capacity; tokens beyond a lower capacity are lost, a higher adds none."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)
