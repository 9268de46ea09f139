"""Measure the scheduling lag of the event loop."""

import trio
from attrs import define

MEASUREMENT_INTERVAL_S = 0.05
# Timers normally fire up to this late.
MIN_SIGNIFICANT_LAG_S = 0.02


@define
class LoopLag:
    """Estimates how long requests wait before this process reads them.

    Attributes:
        lag_s: Lag of the event loop at the last measurement.
    """

    lag_s: float = 0.0

    async def run(self) -> None:
        """Measure the lag periodically until cancelled."""
        while True:
            wake_s = trio.current_time() + MEASUREMENT_INTERVAL_S
            await trio.sleep_until(wake_s)
            self.record(trio.current_time() - wake_s)

    def record(self, lag_s: float) -> None:
        """Record a measurement.

        Only the latest one is kept: earlier lag does not affect requests that are read now.
        """
        self.lag_s = max(0.0, lag_s)

    def estimated_wait_s(self) -> float:
        """Return the estimated wait of a request that is read now, 0 if the lag is usual."""
        return self.lag_s if self.lag_s > MIN_SIGNIFICANT_LAG_S else 0.0
