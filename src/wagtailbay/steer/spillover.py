"""Decide when the requests of a service spill over and when they return to the home region."""

from collections.abc import Sequence

from attrs import define, field

from wagtailbay.steer.const import SPILLOVER_END_DELAY_S, SPILLOVER_END_UTILIZATION
from wagtailbay.steer.eligible import EligibleTarget, Evaluate


@define
class _SpilloverState:
    """Spillover of one service.

    Attributes:
        spare_since_s: Time since which the home region has had spare capacity, None if it has none.
    """

    spare_since_s: float | None = None


@define
class SpilloverTracker:
    """Tracks the services whose home region lost all usable targets.

    Their requests spill over until the region has had spare capacity for ``SPILLOVER_END_DELAY_S``.
    Spillover due to an exhausted budget needs no state, because the budget admits requests at an
    even rate.

    Attributes:
        hysteresis: Test-only switch; False ends spillover as soon as one target is usable.
        state_by_service: State of each service that spills over.
    """

    hysteresis: bool = True
    state_by_service: dict[str, _SpilloverState] = field(factory=dict)

    def should_spill(
        self, service: str, home_targets: Sequence[EligibleTarget], evaluate: Evaluate, now_s: float
    ) -> bool:
        """Return whether the requests of a service prefer other regions.

        Args:
            home_targets: Usable targets in the home region.
        """
        state = self.state_by_service.get(service)
        if not home_targets:
            self.state_by_service[service] = _SpilloverState()
            return True
        if state is None:
            return False
        home_utilization = utilization(home_targets, evaluate)
        if home_utilization > SPILLOVER_END_UTILIZATION:
            state.spare_since_s = None
        elif state.spare_since_s is None:
            state.spare_since_s = now_s
        since_s = state.spare_since_s
        recovered = since_s is not None and now_s - since_s >= SPILLOVER_END_DELAY_S
        if recovered or not self.hysteresis:
            del self.state_by_service[service]
            return False
        return True


def utilization(targets: Sequence[EligibleTarget], evaluate: Evaluate) -> float:
    """Return the load of all targets divided by their slots."""
    return sum(evaluate(eligible).load for eligible in targets) / sum(
        eligible.slots for eligible in targets
    )
