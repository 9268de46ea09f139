"""Choose the less loaded of two random targets, preferring the local zone and region."""

import random
from collections.abc import Callable, Iterator
from enum import Enum

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import FleetDocument
from wagtailbay.health import FailureReason
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.steer.candidates import CandidateFinder, Candidates
from wagtailbay.steer.const import MAX_WAIT_S, MIN_POLL_INTERVAL_S, PPM, WAIT_POLL_INTERVAL_S
from wagtailbay.steer.eligible import Evaluate, TargetGroup
from wagtailbay.steer.models import (
    Assignment,
    AttemptOutcome,
    AttemptReport,
    BudgetSource,
    TargetQuery,
)
from wagtailbay.steer.spillover import SpilloverTracker, utilization
from wagtailbay.steer.wait_queue import WaitQueue

FAILURE_REASONS = {
    AttemptOutcome.CONNECT_FAILED: FailureReason.CONNECT,
    AttemptOutcome.TIMED_OUT: FailureReason.TIMEOUT,
    AttemptOutcome.BROKEN: FailureReason.TIMEOUT,
    AttemptOutcome.SHED: FailureReason.SHED,
}


class AssignmentFailure(Enum):
    """Reason why a request cannot be assigned."""

    NO_TARGET = "no target can take the request"
    BUSY = "all targets are busy"
    NO_BUDGET = "no region has budget left"


@define
class TwoChoiceChooser:
    """Chooses by local and reported load, in the order of local zone, home region, other regions.

    Attributes:
        fleet: Maps availability zones to regions; None until the fleet document is loaded.
        wait_enabled: Test-only switch; False rejects or overloads immediately instead of waiting.
        wait_queues: Queue of waiting requests by service.
        drain_credit_ppm: Credit towards the next request admitted to a drained location.
    """

    availability_zone: str
    finder: CandidateFinder
    budgets: BudgetSource
    clock: Callable[[], float]
    random: random.Random
    fleet: FleetDocument | None = None
    spillover: SpilloverTracker = field(factory=SpilloverTracker)
    wait_enabled: bool = True
    wait_queues: dict[str, WaitQueue] = field(factory=dict)
    drain_credit_ppm: dict[tuple[str, str], int] = field(factory=dict)
    _region: tuple[FleetDocument | None, str] | None = None

    @property
    def region(self) -> str:
        """Return this VM's region, or an empty string if it is unknown."""
        if self._region is None or self._region[0] is not self.fleet:
            region_name = self.fleet.region_of(self.availability_zone) if self.fleet else None
            self._region = (self.fleet, region_name or "")
        return self._region[1]

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose a target, waiting up to 200 ms while all are busy or no budget is left."""
        name = query.service.service
        queue = self.wait_queues.setdefault(name, WaitQueue())
        wait_deadline_s = min(now_s + MAX_WAIT_S, query.deadline_s)
        final = not self.wait_enabled or wait_deadline_s <= now_s
        result: Result[Assignment, AssignmentFailure] = Err(AssignmentFailure.BUSY)
        if final or not len(queue):
            result = self.choose_now(query, now_s, final)
        if (
            isinstance(result, Err)
            and not final
            and result.err_value is not AssignmentFailure.NO_TARGET
        ):
            result = await self._wait(query, queue, wait_deadline_s, now_s, result)
        if isinstance(result, Ok):
            self.finder.load_estimator.record_start(
                name, result.ok_value.target.target, query.deadline_s
            )
            return Ok(result.ok_value)
        code = "no_budget" if result.err_value is AssignmentFailure.NO_BUDGET else "no_target"
        return Err(not_run(503, code, result.err_value.value, retry_after_ms=1_000))

    async def _wait(
        self,
        query: TargetQuery,
        queue: WaitQueue,
        wait_deadline_s: float,
        now_s: float,
        result: Result[Assignment, AssignmentFailure],
    ) -> Result[Assignment, AssignmentFailure]:
        """Retry when a target or budget becomes free, until the wait deadline."""
        service, region = query.service, self.region
        # Borrowed budget arrives within a few ms; polling every 20 ms doubled the p50 of deposits.
        with queue.subscribed(
            lambda: self.budgets.subscribe(service, region, now_s, queue.wake_next)
        ):
            has_waited = final = False
            while isinstance(result, Err) and not final:
                poll_interval_s = WAIT_POLL_INTERVAL_S
                if result.err_value is AssignmentFailure.NO_BUDGET:
                    refill_s = self.budgets.wait_s(service, region, now_s)
                    # If the home region has budget, the shortage is of targets or in other regions.
                    poll_interval_s = (
                        max(MIN_POLL_INTERVAL_S, min(poll_interval_s, refill_s))
                        if refill_s > 0
                        else poll_interval_s
                    )
                await queue.wait(
                    query.workspace or "",
                    wait_deadline_s,
                    now_s,
                    poll_interval_s,
                    requeue=has_waited,
                )
                has_waited, now_s = True, self.clock()
                final = now_s >= wait_deadline_s
                result = self.choose_now(query, now_s, final)
                final = final or result == Err(AssignmentFailure.NO_TARGET)
        # Remaining target slots or budget go to the next waiting request.
        queue.wake_next()
        return result

    def choose_now(
        self, query: TargetQuery, now_s: float, final: bool = True
    ) -> Result[Assignment, AssignmentFailure]:
        """Choose a target without waiting.

        Args:
            final: Whether to accept a busy target rather than fail.
        """
        candidates = self.finder.find(query, self.fleet, now_s)
        if not candidates.matching:
            return Err(AssignmentFailure.NO_TARGET)
        evaluate = self.finder.evaluator(query.service.service, now_s)
        failure, denied_regions = AssignmentFailure.NO_BUDGET, set()
        passes = (False, True) if final else (False,)
        for accept_busy in passes:
            for group in self._groups(query, candidates, evaluate, now_s, final):
                picked = group.pick_of_two(evaluate, self.random)
                if picked.region in denied_regions:
                    continue
                if picked.busy and not accept_busy:
                    failure = AssignmentFailure.BUSY
                    continue
                if self._take_budget(query, picked.region, candidates, now_s):
                    spilled = picked.region != self.region
                    return Ok(Assignment(picked.target, picked.region, spilled))
                denied_regions.add(picked.region)
        return Err(failure)

    def _groups(
        self,
        query: TargetQuery,
        candidates: Candidates,
        evaluate: Evaluate,
        now_s: float,
        final: bool,
    ) -> Iterator[TargetGroup]:
        """Yield the groups of targets to try, in order of preference.

        While waiting is possible, other regions are used only if the home region lacks capacity or
        budget, not because it is busy.
        """
        service = query.service.service
        region = self.region
        home = candidates.in_region(region)
        home_usable = [eligible for eligible in candidates.usable if eligible.region == region]
        spilling = self.spillover.should_spill(service, home_usable, evaluate, now_s)
        home_groups = (
            self._home_groups(service, region, candidates, evaluate) if home.targets else []
        )
        remote_groups: list[TargetGroup] = []
        if spilling or not home_groups:
            remote_groups = self._remote_groups(candidates, region, evaluate)
            yield from remote_groups
        yield from home_groups
        if not home_groups and home.targets and not (spilling and remote_groups):
            yield home
        waits_for_home = not final and all(evaluate(eligible).busy for eligible in home.targets)
        if home_groups and not spilling and not waits_for_home:
            yield from self._remote_groups(candidates, region, evaluate)

    def _home_groups(
        self, service: str, region: str, candidates: Candidates, evaluate: Evaluate
    ) -> list[TargetGroup]:
        """Return the groups of the local zone and home region that drains admit this request to."""
        home = candidates.in_region(region)
        zone = candidates.in_zone(self.availability_zone)
        if not self._admits(service, f"region/{region}", home):
            return []
        if not self._admits(service, f"zone/{self.availability_zone}", zone):
            rest = candidates.outside_zone(region, self.availability_zone)
            return [rest] if rest.targets else [home]
        zone_has_capacity = any(c.load < c.slots for c in map(evaluate, zone.targets))
        return [zone, home] if zone_has_capacity else [home]

    def _admits(self, service: str, location: str, group: TargetGroup) -> bool:
        """Return whether a location may take this request, limited evenly by its drain weight."""
        if group.weight_ppm >= PPM:
            return True
        credit_ppm = self.drain_credit_ppm.get((service, location), 0) + group.weight_ppm
        self.drain_credit_ppm[(service, location)] = credit_ppm % PPM
        return credit_ppm >= PPM

    @staticmethod
    def _remote_groups(
        candidates: Candidates, home_region: str, evaluate: Evaluate
    ) -> list[TargetGroup]:
        """Return the groups of other regions, least utilized first."""
        regions = sorted({eligible.region for eligible in candidates.matching} - {home_region})
        groups = [candidates.in_region(region) for region in regions]
        return sorted(groups, key=lambda group: utilization(group.targets, evaluate))

    def _take_budget(
        self, query: TargetQuery, region: str, candidates: Candidates, now_s: float
    ) -> bool:
        if region != self.region and not self.budgets.link_has_capacity(region, self.region, now_s):
            return False
        fraction = candidates.healthy_fraction.get(region, 0.0)
        return self.budgets.take_region_budget(query.service, region, now_s, fraction)

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Record the outcome of an attempt and wake a waiting request."""
        service, target = query.service.service, assignment.target.target
        self.finder.load_estimator.record_finish(
            service, target, query.deadline_s, report.outcome, now_s
        )
        if report.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT):
            self.finder.latency_tracker.record(service, target, report.latency_ms, now_s)
        reason = FAILURE_REASONS.get(report.outcome)
        if reason is not None:
            targets = frozenset(t.target for t in query.service.targets)
            self.finder.outliers.record_failure(service, target, reason, targets, now_s)
        elif report.outcome is AttemptOutcome.ANSWERED:
            self.finder.outliers.record_success(service, target)
        if assignment.region != self.region:
            self.budgets.charge_link(assignment.region, self.region, report.response_bytes, now_s)
        if service in self.wait_queues:
            self.wait_queues[service].wake_next()
