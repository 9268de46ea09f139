"""Measure how late this process gets to its work."""

import trio
from attrs import define

# How often the lag is measured.
MEASUREMENT_INTERVAL_S = 0.05
# Timers that fire this late are usual.
MIN_SIGNIFICANT_LAG_S = 0.02


@define
class LoopLag:
    """Hold the time that a request waits before this process reads it.

    Attributes:
        lag_s: How late the loop came to its work at the last measurement.
    """

    lag_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            wake_s = trio.current_time() + MEASUREMENT_INTERVAL_S
            await trio.sleep_until(wake_s)
            self.record(trio.current_time() - wake_s)

    def record(self, lag_s: float) -> None:
        """Take in one measurement; an earlier one says nothing of requests that are read now."""
        self.lag_s = max(0.0, lag_s)

    def estimated_wait_s(self) -> float:
        """Return how long a request that is read now has probably waited."""
        return self.lag_s if self.lag_s > MIN_SIGNIFICANT_LAG_S else 0.0
