"""Choose the better of two random targets, near ones first."""

import random
from collections.abc import Callable, Iterator
from enum import Enum

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import FleetDocument
from wagtailbay.health import FailureSign
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.steer.candidates import CandidateFinder, Candidates
from wagtailbay.steer.const import MAX_WAIT_S, MIN_TICK_S, PPM, WAIT_TICK_S
from wagtailbay.steer.eligible import Evaluate, TargetGroup
from wagtailbay.steer.models import (
    Assignment,
    AttemptOutcome,
    AttemptReport,
    BudgetSource,
    TargetQuery,
)
from wagtailbay.steer.spill import SpillMemory, load_of
from wagtailbay.steer.waiting import WaitQueue

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
    wait_queues: dict[str, WaitQueue] = field(factory=dict)
    drain_debt_ppm: dict[tuple[str, str], int] = field(factory=dict)
    _region: tuple[FleetDocument | None, str] | None = None

    @property
    def region(self) -> str:
        """Return this VM's own region."""
        if self._region is None or self._region[0] is not self.fleet:
            found = self.fleet.region_of(self.availability_zone) if self.fleet else None
            self._region = (self.fleet, found or "")
        return self._region[1]

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose a target; waits up to 200 ms while all are busy or no budget is left."""
        name = query.service.service
        queue = self.wait_queues.setdefault(name, WaitQueue())
        until_s = min(now_s + MAX_WAIT_S, query.deadline_s)
        last = not self.waits or until_s <= now_s
        found: Result[Assignment, Shortage] = Err(Shortage.BUSY)
        if last or not len(queue):
            found = self.try_now(query, now_s, last)
        if isinstance(found, Err) and not last and found.err_value is not Shortage.NO_TARGET:
            found = await self._wait(query, queue, until_s, now_s, found)
        if isinstance(found, Ok):
            self.finder.beliefs.start(name, found.ok_value.target.target, query.deadline_s)
            return Ok(found.ok_value)
        code = "no_budget" if found.err_value is Shortage.NO_BUDGET else "no_target"
        return Err(not_run(503, code, found.err_value.value, retry_after_ms=1_000))

    async def _wait(
        self,
        query: TargetQuery,
        queue: WaitQueue,
        until_s: float,
        now_s: float,
        found: Result[Assignment, Shortage],
    ) -> Result[Assignment, Shortage]:
        """Try again when a target or budget becomes free, until a time."""
        service, region = query.service, self.region
        # Borrowed budget arrives within a few ms; looking every 20 ms doubled a deposit's p50.
        with queue.following(lambda: self.budgets.follow(service, region, now_s, queue.wake_next)):
            waited = last = False
            while isinstance(found, Err) and not last:
                tick_s = WAIT_TICK_S
                if found.err_value is Shortage.NO_BUDGET:
                    due_s = self.budgets.wait_s(service, region, now_s)
                    # With budget at home, it is targets or other regions that are short.
                    tick_s = max(MIN_TICK_S, min(tick_s, due_s)) if due_s > 0 else tick_s
                await queue.wait(query.workspace or "", until_s, now_s, tick_s, again=waited)
                waited, now_s = True, self.clock()
                last = now_s >= until_s
                found = self.try_now(query, now_s, last)
                last = last or found == Err(Shortage.NO_TARGET)
        # What is left of a target or of a budget goes to the next one in turn.
        queue.wake_next()
        return found

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
        evaluate = self.finder.evaluator(query.service.service, now_s)
        shortage, denied = Shortage.NO_BUDGET, set()
        passes = (False, True) if last else (False,)
        for accept_busy in passes:
            for group in self._groups(query, candidates, evaluate, now_s, last):
                picked = group.pick_of_two(evaluate, self.random)
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
        self,
        query: TargetQuery,
        candidates: Candidates,
        evaluate: Evaluate,
        now_s: float,
        last: bool,
    ) -> Iterator[TargetGroup]:
        """Yield the groups of targets to try, best first.

        While a wait is possible, other regions come in only for lack of capacity or budget at
        home, not because the home region is busy.
        """
        service = query.service.service
        region = self.region
        home = candidates.in_region(region)
        home_usable = [eligible for eligible in candidates.usable if eligible.region == region]
        spilling = self.spills.is_away(service, home_usable, evaluate, now_s)
        near = self._near_groups(service, region, candidates, evaluate) if home.targets else []
        away: list[TargetGroup] = []
        if spilling or not near:
            away = self._away(candidates, region, evaluate)
            yield from away
        yield from near
        if not near and home.targets and not (spilling and away):
            yield home
        waits_for_home = not last and all(evaluate(eligible).busy for eligible in home.targets)
        if near and not spilling and not waits_for_home:
            yield from self._away(candidates, region, evaluate)

    def _near_groups(
        self, service: str, region: str, candidates: Candidates, evaluate: Evaluate
    ) -> list[TargetGroup]:
        """Return the own availability zone and the home region, less what drains hold back."""
        home = candidates.in_region(region)
        zone = candidates.in_zone(self.availability_zone)
        if not self._stays(service, f"region/{region}", home):
            return []
        if not self._stays(service, f"zone/{self.availability_zone}", zone):
            rest = candidates.outside_zone(region, self.availability_zone)
            return [rest] if rest.targets else [home]
        zone_has_room = any(c.load < c.slots for c in map(evaluate, zone.targets))
        return [zone, home] if zone_has_room else [home]

    def _stays(self, service: str, place: str, group: TargetGroup) -> bool:
        """Spread requests evenly between a place that is being drained and others."""
        if group.weight_ppm >= PPM:
            return True
        debt_ppm = self.drain_debt_ppm.get((service, place), 0) + group.weight_ppm
        self.drain_debt_ppm[(service, place)] = debt_ppm % PPM
        return debt_ppm >= PPM

    @staticmethod
    def _away(candidates: Candidates, own: str, evaluate: Evaluate) -> list[TargetGroup]:
        """Return the other regions, the least loaded first."""
        regions = sorted({eligible.region for eligible in candidates.for_query} - {own})
        groups = [candidates.in_region(region) for region in regions]
        return sorted(groups, key=lambda group: load_of(group.targets, evaluate))

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
        self.finder.beliefs.finish(service, target, query.deadline_s, report.outcome, now_s)
        if report.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT):
            self.finder.latencies.record(service, target, report.latency_ms, now_s)
        sign = SIGNS.get(report.outcome)
        if sign is not None:
            targets = frozenset(t.target for t in query.service.targets)
            self.finder.outliers.record_failure(service, target, sign, targets, now_s)
        elif report.outcome is AttemptOutcome.ANSWERED:
            self.finder.outliers.record_success(service, target)
        if assignment.region != self.region:
            self.budgets.charge_link(assignment.region, self.region, report.response_bytes, now_s)
        if service in self.wait_queues:
            self.wait_queues[service].wake_next()
