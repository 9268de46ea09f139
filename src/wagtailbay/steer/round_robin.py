"""Choose targets in round-robin order; a baseline for measurements."""

from attrs import define
from result import Err, Ok, Result

from wagtailbay.config import FleetDocument
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.steer.models import Assignment, AttemptReport, TargetQuery


@define
class RoundRobinChooser:
    """Chooses the targets of a service in round-robin order, in any state."""

    fleet: FleetDocument | None = None
    cursor: int = 0

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose the next untried target with the requested version."""
        usable = query.untried_targets()
        if not usable:
            return Err(not_run(503, "no_target", "no target can take the request"))
        self.cursor += 1
        target = usable[self.cursor % len(usable)]
        region = self.fleet.region_of(target.availability_zone) if self.fleet else None
        return Ok(Assignment(target, region or ""))

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Ignore the outcome, which does not affect the order."""
