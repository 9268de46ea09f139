"""Choose the target with the fewest local requests per slot; a baseline for measurements."""

import random

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import FleetDocument
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.steer.candidates import region_of
from wagtailbay.steer.models import Assignment, AttemptReport, TargetQuery


@define
class LeastConnectionsChooser:
    """Chooses by this VM's in-flight requests per slot alone; ties are broken at random."""

    random: random.Random
    fleet: FleetDocument | None = None
    in_flight: dict[str, int] = field(factory=dict)

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose the target with the fewest in-flight requests per slot."""
        usable = query.untried_targets()
        if not usable:
            return Err(not_run(503, "no_target", "no target can take the request"))
        self.random.shuffle(usable)
        target = min(usable, key=lambda t: self.in_flight.get(t.target, 0) / t.slots)
        self.in_flight[target.target] = self.in_flight.get(target.target, 0) + 1
        return Ok(Assignment(target, region_of(target, self.fleet)))

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Remove the request from the in-flight count."""
        self.in_flight[assignment.target.target] -= 1
