"""Count tokens."""

from attrs import define


@define
class TokenBucket:
    """Hold tokens that refill at a rate up to a capacity.

    Attributes:
        rate_per_s: Tokens gained each second.
        capacity: The most tokens it holds.
        level: Tokens held at updated_s.
    """

    rate_per_s: float
    capacity: float
    level: float
    updated_s: float

    def refill(self, now_s: float) -> None:
        """Add the tokens gained since the last update."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.level = min(self.capacity, self.level + elapsed_s * self.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)

    def take(self, tokens: float, now_s: float) -> bool:
        """Take tokens if there are enough."""
        self.refill(now_s)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def resize(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change rate and capacity; a higher capacity brings no tokens, a lower one cuts them."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)
