"""Count tokens."""

from math import inf

from attrs import define

from wagtailbay.limits.const import ROUNDING_TOLERANCE


@define
class TokenBucket:
    """Hold tokens that refill at a rate up to a capacity.

    Attributes:
        rate_per_s: Tokens gained each second.
        capacity: The most tokens it holds.
        level: Tokens held at updated_s; negative after a charge for what was already spent.
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
        if self.level < tokens - ROUNDING_TOLERANCE:
            return False
        self.level -= tokens
        return True

    def charge(self, tokens: float, now_s: float) -> None:
        """Take tokens that are already spent."""
        self.refill(now_s)
        self.level -= tokens

    def add_tokens(self, tokens: float) -> None:
        """Add tokens that another bucket gave up, as far as they fit."""
        self.level = min(self.capacity, self.level + tokens)

    def wait_s(self, tokens: float) -> float:
        """Return the time from updated_s until there are enough tokens, infinity if never."""
        if self.level >= tokens - ROUNDING_TOLERANCE:
            return 0.0
        if self.capacity < tokens - ROUNDING_TOLERANCE or self.rate_per_s <= 0:
            return inf
        return (tokens - self.level) / self.rate_per_s

    def resize(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change rate and capacity; a higher capacity brings no tokens, a lower one cuts them."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)
