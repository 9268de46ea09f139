"""Change the share of requests that leave the region only slowly."""

from attrs import define

from wagtailbay.placement.const import (
    LOST_HOME_STEP_PER_S,
    SPILL_DEMAND_HALF_LIFE_S,
    SPILL_STEP_PER_S,
)


@define
class SpillLimiter:
    """Send a share of one service's requests to other regions that follows the need for it.

    The share also falls slowly: a sudden return would be as large a shift as a sudden start.

    Attributes:
        share: The share of requests that goes to other regions now.
        wanted: Fading share of requests for which there was no room at home.
        credit: Fraction of a request that has come together.
    """

    share: float = 0.0
    wanted: float = 0.0
    credit: float = 0.0
    updated_s: float | None = None

    def observe(self, needs_room: bool, home_lost: bool, now_s: float) -> None:
        """Record whether a request found room at home, and move the share."""
        elapsed_s = 0.0 if self.updated_s is None else max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        weight = 1 - 0.5 ** (max(elapsed_s, 0.001) / SPILL_DEMAND_HALF_LIFE_S)
        self.wanted += weight * ((1.0 if needs_room else 0.0) - self.wanted)
        step = elapsed_s * (LOST_HOME_STEP_PER_S if home_lost else SPILL_STEP_PER_S)
        goal = 1.0 if home_lost else self.wanted
        self.share += max(-elapsed_s * SPILL_STEP_PER_S, min(step, goal - self.share))

    def take(self) -> bool:
        """Tell whether the next request goes to another region."""
        self.credit += self.share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
