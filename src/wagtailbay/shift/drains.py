"""Step down the weight of drained targets until the deadline of the drain."""

import math
from collections.abc import Callable

from attrs import define

from wagtailbay.config import Drain, FleetDocument, ServiceDocument, Target
from wagtailbay.shift.const import PPM


def drain_weight_ppm(drain: Drain, now_unix_s: float) -> int:
    """Return the weight of a drained target at a time.

    The first step is at the start. The last step is one step length before the deadline, which
    leaves that time for requests in flight. If start and deadline are equal, the weight drops to
    0 at once.
    """
    if now_unix_s < drain.start_unix_s:
        return PPM
    if now_unix_s >= drain.deadline_unix_s:
        return 0
    steps = math.ceil(PPM / drain.max_step_ppm)
    interval_s = (drain.deadline_unix_s - drain.start_unix_s) / steps
    steps_taken = min(steps, math.floor((now_unix_s - drain.start_unix_s) / interval_s) + 1)
    return max(0, PPM - steps_taken * drain.max_step_ppm)


@define
class DrainWeights:
    """Compute the weights of targets from the drains in the service document.

    Every VM computes the same weight from the document and the wall clock. Once the document is
    known, a drain needs neither the store nor a lease holder.

    Attributes:
        enabled: Test-only switch; if False, drains are ignored.
    """

    fleet: Callable[[], FleetDocument | None]
    unix_clock: Callable[[], float]
    enabled: bool = True

    def weight_ppm(self, service: ServiceDocument, target: Target, now_s: float) -> int:
        """Return the lowest weight of all drains of the target, its zone or its region."""
        if not service.drains or not self.enabled:
            return PPM
        now_unix_s = self.unix_clock()
        fleet = self.fleet()
        names_by_kind = {
            "target": target.target,
            "availability_zone": target.availability_zone,
            "region": fleet.region_of(target.availability_zone) if fleet else None,
        }
        weights = (
            drain_weight_ppm(drain, now_unix_s)
            for drain in service.drains
            if names_by_kind.get(drain.kind) == drain.name
        )
        return min(weights, default=PPM)
