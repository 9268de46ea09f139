"""Exponentially decaying rate estimates."""

from math import exp

from attrs import define


@define
class DecayingRate:
    """Exponentially weighted rate per second; an amount one window old has the weight 1/e."""

    window_s: float
    per_s: float = 0.0
    updated_s: float = 0.0

    def record(self, amount: float, now_s: float) -> None:
        """Add an amount at the given time."""
        self.per_s = self.at(now_s) + amount / self.window_s
        self.updated_s = max(self.updated_s, now_s)

    def at(self, now_s: float) -> float:
        """Return the rate per second at the given time."""
        return self.per_s * exp(-max(0.0, now_s - self.updated_s) / self.window_s)
