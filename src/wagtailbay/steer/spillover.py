"""Decide when a service's requests spill over and when they return to the home region."""

from collections.abc import Sequence

from attrs import define, field

from wagtailbay.steer.const import SPILLOVER_END_DELAY_S, SPILLOVER_END_UTILIZATION
from wagtailbay.steer.eligible import EligibleTarget, Evaluate


@define
class _SpilloverState:
    spare_since_s: float | None = None


@define
class SpilloverTracker:
    """Keeps requests away from a home region without usable targets until it has spare capacity.

    Requests that spill over only because the budget ran out need no state: the budget itself admits
    an even stream.

    Attributes:
        hysteresis: Test-only switch; False returns as soon as one target is usable.
        active: State of each service that is spilling over.
    """

    hysteresis: bool = True
    state_by_service: dict[str, _SpilloverState] = field(factory=dict)

    def should_spill(
        self, service: str, home_targets: Sequence[EligibleTarget], evaluate: Evaluate, now_s: float
    ) -> bool:
        """Return whether requests prefer other regions.

        Args:
            home: Usable targets in the home region.
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
    """Return the total load of targets divided by their total slots."""
    return sum(evaluate(eligible).load for eligible in targets) / sum(
        eligible.slots for eligible in targets
    )
