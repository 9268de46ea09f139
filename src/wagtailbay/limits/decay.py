"""Estimate rates of events."""

from math import exp

from attrs import define


@define
class DecayingRate:
    """Estimate an amount a second; what came one window ago counts 1/e of what comes now."""

    window_s: float
    per_s: float = 0.0
    updated_s: float = 0.0

    def record(self, amount: float, now_s: float) -> None:
        """Count an amount."""
        self.per_s = self.at(now_s) + amount / self.window_s
        self.updated_s = max(self.updated_s, now_s)

    def at(self, now_s: float) -> float:
        """Return the amount a second."""
        return self.per_s * exp(-max(0.0, now_s - self.updated_s) / self.window_s)
