"""Choose the better of two random targets, near ones first."""

import random
from collections.abc import Callable, Sequence
from enum import Enum

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import FleetDocument
from wagtailbay.health import FailureSign
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.steer.candidates import CandidateFinder, Candidates, pick_of_two
from wagtailbay.steer.const import MAX_WAIT_S, PPM
from wagtailbay.steer.models import (
    Assignment,
    AttemptOutcome,
    AttemptReport,
    BudgetSource,
    Candidate,
    TargetQuery,
)
from wagtailbay.steer.spill import SpillMemory
from wagtailbay.steer.waiting import WaitingRoom

SIGNS = {
    AttemptOutcome.CONNECT_FAILED: FailureSign.CONNECT,
    AttemptOutcome.TIMED_OUT: FailureSign.TIMEOUT,
    AttemptOutcome.BROKEN: FailureSign.TIMEOUT,
    AttemptOutcome.SHED: FailureSign.SHED,
}


class Shortage(Enum):
    """Name what keeps a request from being assigned."""

    NO_TARGET = "no target can take the request"
    BUSY = "all targets are busy"
    NO_BUDGET = "no region has budget left"


@define
class TwoChoiceChooser:
    """Choose by own counts and reported load: same availability zone, region, other regions.

    Attributes:
        fleet: Places availability zones in regions; None until its document is known.
        waits: Test-only switch; False refuses or overloads at once instead of waiting.
    """

    availability_zone: str
    finder: CandidateFinder
    budgets: BudgetSource
    clock: Callable[[], float]
    random: random.Random
    fleet: FleetDocument | None = None
    spills: SpillMemory = field(factory=SpillMemory)
    waits: bool = True
    rooms: dict[str, WaitingRoom] = field(factory=dict)
    drain_debt_ppm: dict[tuple[str, str], int] = field(factory=dict)

    @property
    def region(self) -> str:
        """Return this VM's own region."""
        return (self.fleet.region_of(self.availability_zone) if self.fleet else None) or ""

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose a target; waits up to 200 ms while all are busy or no budget is left."""
        name = query.service.service
        room = self.rooms.setdefault(name, WaitingRoom())
        until_s = min(now_s + MAX_WAIT_S, query.deadline_s)
        last = not self.waits or until_s <= now_s
        found: Result[Assignment, Shortage] = Err(Shortage.BUSY)
        if last or not len(room):
            found = self.try_now(query, now_s, last)
        waited = False
        while isinstance(found, Err) and not last and found.err_value is not Shortage.NO_TARGET:
            await room.wait(query.workspace or "", until_s, now_s, again=waited)
            waited, now_s = True, self.clock()
            last = now_s >= until_s
            found = self.try_now(query, now_s, last)
        if waited:
            # What is left of a target or of a budget goes to the next one in turn.
            room.wake_next()
        if isinstance(found, Ok):
            self.finder.beliefs.start(name, found.ok_value.target.target, query.deadline_s)
            return Ok(found.ok_value)
        code = "no_budget" if found.err_value is Shortage.NO_BUDGET else "no_target"
        return Err(not_run(503, code, found.err_value.value, retry_after_ms=1_000))

    def try_now(
        self, query: TargetQuery, now_s: float, last: bool = True
    ) -> Result[Assignment, Shortage]:
        """Choose a target without waiting.

        Args:
            last: Whether a busy target is better than none.
        """
        candidates = self.finder.find(query, self.fleet, now_s)
        if not candidates.for_query:
            return Err(Shortage.NO_TARGET)
        shortage, denied = Shortage.NO_BUDGET, set()
        passes = (False, True) if last else (False,)
        for accept_busy in passes:
            for group in self._groups(query, candidates, now_s, last):
                picked = pick_of_two(group, self.random)
                if picked.region in denied:
                    continue
                if picked.busy and not accept_busy:
                    shortage = Shortage.BUSY
                    continue
                if self._take(query, picked.region, candidates, now_s):
                    spilled = picked.region != self.region
                    return Ok(Assignment(picked.target, picked.region, spilled))
                denied.add(picked.region)
        return Err(shortage)

    def _groups(
        self, query: TargetQuery, candidates: Candidates, now_s: float, last: bool
    ) -> list[tuple[Candidate, ...]]:
        """Return the groups of targets to try, best first.

        While a wait is possible, other regions come in only for lack of capacity or budget at
        home, not because the home region is busy.
        """
        service = query.service.service
        home = candidates.in_region(self.region)
        home_usable = [c for c in candidates.all_usable if c.region == self.region]
        away = self._away(candidates)
        spilling = self.spills.is_away(service, home_usable, now_s)
        if not home:
            return away
        near = self._near_groups(service, home)
        if away and spilling:
            return away + near
        if not near:
            return [*away, home]
        if not last and all(c.busy for c in home):
            return near
        return near + away

    def _near_groups(
        self, service: str, home: tuple[Candidate, ...]
    ) -> list[tuple[Candidate, ...]]:
        """Return the own availability zone and the home region, less what drains hold back."""
        zone = tuple(c for c in home if c.target.availability_zone == self.availability_zone)
        if not self._stays(service, f"region/{self.region}", home):
            return []
        if not self._stays(service, f"zone/{self.availability_zone}", zone):
            rest = tuple(c for c in home if c not in zone)
            return [rest] if rest else [home]
        zone_has_room = any(c.load < c.slots for c in zone)
        return [zone, home] if zone_has_room else [home]

    def _stays(self, service: str, place: str, group: Sequence[Candidate]) -> bool:
        """Spread requests evenly between a place that is being drained and others."""
        weight_ppm = max((c.weight_ppm for c in group), default=PPM)
        if weight_ppm >= PPM:
            return True
        debt_ppm = self.drain_debt_ppm.get((service, place), 0) + weight_ppm
        self.drain_debt_ppm[(service, place)] = debt_ppm % PPM
        return debt_ppm >= PPM

    def _away(self, candidates: Candidates) -> list[tuple[Candidate, ...]]:
        """Return the other regions, the least loaded first."""
        regions = sorted({c.region for c in candidates.for_query} - {self.region})
        groups = [candidates.in_region(region) for region in regions]
        return sorted(groups, key=lambda g: sum(c.load for c in g) / sum(c.slots for c in g))

    def _take(self, query: TargetQuery, region: str, candidates: Candidates, now_s: float) -> bool:
        if region != self.region and not self.budgets.link_has_room(region, self.region, now_s):
            return False
        fraction = candidates.healthy_fraction.get(region, 0.0)
        return self.budgets.take_region(query.service, region, now_s, fraction)

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Record what came of a try, and wake a waiting request."""
        service, target = query.service.service, assignment.target.target
        targets = frozenset(t.target for t in query.service.targets)
        beliefs = self.finder.beliefs
        beliefs.finish(service, target, query.deadline_s, report.outcome, now_s)
        beliefs.forget(service, targets)
        sign = SIGNS.get(report.outcome)
        if sign is not None:
            self.finder.outliers.record_failure(service, target, sign, targets, now_s)
        elif report.outcome is AttemptOutcome.ANSWERED:
            self.finder.outliers.record_success(service, target)
        if assignment.region != self.region:
            self.budgets.charge_link(assignment.region, self.region, report.response_bytes, now_s)
        if service in self.rooms:
            self.rooms[service].wake_next()
