"""Forward a request to targets until one responds or a retry is no longer allowed."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.entry.attempt import Attempt
from wagtailbay.entry.const import (
    INITIAL_RETRY_TOKENS,
    MAX_ATTEMPTS,
    RETRY_CAPACITY,
    RETRY_RATIO,
)
from wagtailbay.entry.models import AttemptResult, ForwardResult, RequestContext
from wagtailbay.entry.routing import split_path_and_query
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.quarantine import CrashTable, SuspectLimiter, refuses_connections
from wagtailbay.refusals import Refusal, RunState, not_run
from wagtailbay.retries import RetryBudget
from wagtailbay.shift import VersionPicker
from wagtailbay.steer import Assignment, AttemptOutcome, AttemptReport, Chooser, TargetQuery
from wagtailbay.transport import CallerDisconnectedError, ConnectionPool, ResponseSink


@define
class RetryState:
    """State of one request across its attempts.

    Attributes:
        version: Version of targets that the request is limited to, None for any.
        attempt_count: Number of completed attempts.
        excluded: Targets that must not be chosen again.
        may_have_run: Whether any target may have run the request.
        last_refusal: Refusal that the last failed attempt resulted in.
    """

    version: str | None
    attempt_count: int = 0
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    last_refusal: Refusal | None = None

    def record(self, result: AttemptResult, target: str) -> None:
        """Record a completed attempt and exclude its target from further attempts."""
        self.attempt_count += 1
        self.excluded |= {target}
        self.may_have_run = self.may_have_run or result.may_have_run
        if isinstance(result.forward_result, Err) and isinstance(
            result.forward_result.err_value, Refusal
        ):
            self.last_refusal = result.forward_result.err_value

    def with_run_state(self, refusal: Refusal) -> Refusal:
        """Return the refusal, with its run state set to unknown if any attempt may have run."""
        return evolve(refusal, run=RunState.UNKNOWN) if self.may_have_run else refusal


@define
class Forwarder:
    """Forwards requests, with retries within the deadline, safety rules and the retry budget.

    Attributes:
        has_exited: Returns whether the target process at an address has exited.
        reports_run_state: For tests only; False reports "not run" in every refusal.
    """

    chooser: Chooser
    version_picker: VersionPicker
    pool: ConnectionPool
    crashes: CrashTable
    clock: Callable[[], float]
    vm: str
    retry_budget: RetryBudget = field(
        factory=lambda: RetryBudget(RETRY_RATIO, lambda: RETRY_CAPACITY, INITIAL_RETRY_TOKENS)
    )
    suspect_limiter: SuspectLimiter = field(factory=SuspectLimiter)
    has_exited: Callable[[str], Awaitable[bool]] = refuses_connections
    metrics: Metrics = field(factory=Metrics)
    reports_run_state: bool = True

    async def forward(self, context: RequestContext, sink: ResponseSink) -> ForwardResult:
        """Forward a request and stream its response; return the status sent to the caller."""
        version_filter = self.version_picker.pick(context.service, context.route, self.clock())
        state = RetryState(version_filter.version)
        self.retry_budget.record_first_attempt()
        while True:
            result = await self._attempt_once(context, state, sink)
            if result is not None:
                return result if self.reports_run_state else mark_not_run(result)

    async def _attempt_once(
        self, context: RequestContext, state: RetryState, sink: ResponseSink
    ) -> ForwardResult | None:
        """Make one attempt; return None if the request should be retried."""
        now_s = self.clock()
        is_suspect = self.crashes.is_suspect(context.fingerprint, now_s)
        if is_suspect:
            async with self.suspect_limiter.hold_slot(is_suspect, context.deadline_s - now_s):
                result = await self._choose_and_attempt(context, state, sink)
        else:
            result = await self._choose_and_attempt(context, state, sink)
        if not isinstance(result, AttemptResult):
            return result
        if not isinstance(result.forward_result, Err) or not isinstance(
            result.forward_result.err_value, Refusal
        ):
            return result.forward_result
        if self._may_retry(context, state, result, sink):
            return None
        return Err(state.with_run_state(result.forward_result.err_value))

    async def _choose_and_attempt(
        self, context: RequestContext, state: RetryState, sink: ResponseSink
    ) -> AttemptResult | ForwardResult:
        """Choose a target and attempt the request; return a refusal if no target is available."""
        sendable = self.check_sendable(context)
        if isinstance(sendable, Err):
            return Err(state.with_run_state(sendable.err_value))
        query = self._target_query(context, state)
        chosen = await self.chooser.choose(query, self.clock())
        if isinstance(chosen, Err):
            return Err(state.with_run_state(state.last_refusal or chosen.err_value))
        assignment = chosen.ok_value
        result = await self._attempt(context, query, assignment, sink)
        if result.closed_without_response:
            await self._check_crash(context, assignment)
        state.record(result, assignment.target.target)
        return result

    def check_sendable(self, context: RequestContext) -> Result[None, Refusal]:
        """Refuse a request past its deadline or in quarantine; checked before each attempt."""
        now_s = self.clock()
        if now_s >= context.deadline_s:
            return Err(not_run(504, "deadline", "no answer before the deadline"))
        return check_quarantine(self.crashes, context.fingerprint, now_s)

    @staticmethod
    def _target_query(context: RequestContext, state: RetryState) -> TargetQuery:
        return TargetQuery(
            context.service,
            context.route,
            context.workspace,
            state.version,
            state.excluded,
            state.attempt_count,
            context.deadline_s,
        )

    async def _attempt(
        self,
        context: RequestContext,
        query: TargetQuery,
        assignment: Assignment,
        sink: ResponseSink,
    ) -> AttemptResult:
        """Attempt one target and record the outcome, also on cancellation."""
        attempt = Attempt(self.pool, self.clock, self.vm, context, assignment, sink)
        report: AttemptReport | None = None
        try:
            result = await attempt.run()
            report = result.report
        except (trio.Cancelled, CallerDisconnectedError):
            log_event(
                "try_cancelled",
                request_id=context.request_id,
                target=assignment.target.target,
                answer_started=sink.started,
            )
            raise
        finally:
            report = report or attempt.build_report(AttemptOutcome.CANCELLED)
            self._record(context, query, assignment, report)
        return result

    def _record(
        self,
        context: RequestContext,
        query: TargetQuery,
        assignment: Assignment,
        report: AttemptReport,
    ) -> None:
        now_s = self.clock()
        self.chooser.finish(query, assignment, report, now_s)
        version = assignment.target.version
        self.version_picker.record(context.service, context.route, version, report, now_s)
        self.metrics.record_attempt(context.service.service, report.outcome.value)
        if report.outcome is AttemptOutcome.ANSWERED:
            self.crashes.record_answer(context.fingerprint, now_s)

    async def _check_crash(self, context: RequestContext, assignment: Assignment) -> None:
        if not await self.has_exited(assignment.target.address):
            return
        path, _ = split_path_and_query(context.request.path)
        description = f"{context.workspace or '-'} {context.request.method} {path}"
        target = assignment.target.target
        self.crashes.record_crash(context.fingerprint, target, description, self.clock())
        log_event("target_crashed", request_id=context.request_id, target=target)

    def _may_retry(
        self,
        context: RequestContext,
        state: RetryState,
        result: AttemptResult,
        sink: ResponseSink,
    ) -> bool:
        if sink.started or state.attempt_count >= MAX_ATTEMPTS:
            return False
        if self.clock() >= context.deadline_s:
            return False
        if result.may_have_run and not context.route.idempotent:
            return False
        return self.retry_budget.take()


def mark_not_run(result: ForwardResult) -> ForwardResult:
    """Set the run state of a refusal to "not run", whether or not it is true."""
    if isinstance(result, Err) and isinstance(result.err_value, Refusal):
        return Err(evolve(result.err_value, run=RunState.NOT_RUN))
    return result


def check_quarantine(crashes: CrashTable, fingerprint: str, now_s: float) -> Result[None, Refusal]:
    """Refuse a request that is quarantined because it crashed targets."""
    if not crashes.is_refused(fingerprint, now_s):
        return Ok(None)
    message = "this submission was not sent: earlier ones of the same request crashed targets"
    return Err(not_run(422, "crashes_targets", message))
