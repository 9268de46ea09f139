"""Decide when a service's requests return to the home region."""

from collections.abc import Sequence

from attrs import define, field

from wagtailbay.steer.const import SPILL_ENDS_AFTER_S, SPILL_ENDS_BELOW_LOAD
from wagtailbay.steer.eligible import EligibleTarget, Evaluate


@define
class _Spill:
    spare_since_s: float | None = None


@define
class SpillMemory:
    """Keep requests away from a home region that lost its capacity until it has spare again.

    Requests that spill only because the budget ran out need no memory: the budget itself admits
    an even stream.

    Attributes:
        hysteresis: Test-only switch; False returns as soon as one target is usable.
    """

    hysteresis: bool = True
    spilling: dict[str, _Spill] = field(factory=dict)

    def is_away(
        self, service: str, home: Sequence[EligibleTarget], evaluate: Evaluate, now_s: float
    ) -> bool:
        """Tell whether requests go to other regions first.

        Args:
            home: The usable targets of the home region.
        """
        spill = self.spilling.get(service)
        if not home:
            self.spilling[service] = _Spill()
            return True
        if spill is None:
            return False
        load = load_of(home, evaluate)
        if load > SPILL_ENDS_BELOW_LOAD:
            spill.spare_since_s = None
        elif spill.spare_since_s is None:
            spill.spare_since_s = now_s
        since_s = spill.spare_since_s
        spared = since_s is not None and now_s - since_s >= SPILL_ENDS_AFTER_S
        if spared or not self.hysteresis:
            del self.spilling[service]
            return False
        return True


def load_of(targets: Sequence[EligibleTarget], evaluate: Evaluate) -> float:
    """Return the load of some targets through their slots."""
    return sum(evaluate(eligible).load for eligible in targets) / sum(
        eligible.slots for eligible in targets
    )
