"""Send a request to targets until one answers, and its answer back to the caller."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.entry.attempt import Attempt
from wagtailbay.entry.const import (
    MAX_ATTEMPTS,
    RETRY_CAPACITY,
    RETRY_RATIO,
    RETRY_START_TOKENS,
)
from wagtailbay.entry.models import ForwardResult, RequestContext, Try
from wagtailbay.entry.routing import split_target
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.quarantine import CrashTable, SuspectLimiter, refuses_connections
from wagtailbay.refusals import Refusal, RunState, not_run
from wagtailbay.retries import RetryBudget
from wagtailbay.shift import VersionPicker
from wagtailbay.steer import Assignment, AttemptOutcome, AttemptReport, Chooser, TargetQuery
from wagtailbay.transport import CallerDisconnectedError, ConnectionPool, ResponseSink


@define
class Progress:
    """Hold what earlier tries of one request leave to know."""

    version: str | None
    attempt: int = 0
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    last: Refusal | None = None

    def note(self, tried: Try, target: str) -> None:
        """Take in a try that ended without an answer."""
        self.attempt += 1
        self.excluded |= {target}
        self.may_have_run = self.may_have_run or tried.may_have_run
        if isinstance(tried.result, Err) and isinstance(tried.result.err_value, Refusal):
            self.last = tried.result.err_value

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return a refusal that says "not run" only if no try may have run."""
        return evolve(refusal, run=RunState.UNKNOWN) if self.may_have_run else refusal


@define
class Forwarder:
    """Try targets until one answers, the deadline passes or a retry would not be safe.

    Attributes:
        truthful: Test-only switch; False says "not run" in every refusal.
    """

    chooser: Chooser
    versions: VersionPicker
    pool: ConnectionPool
    crashes: CrashTable
    clock: Callable[[], float]
    vm: str
    retries: RetryBudget = field(
        factory=lambda: RetryBudget(RETRY_RATIO, lambda: RETRY_CAPACITY, RETRY_START_TOKENS)
    )
    lane: SuspectLimiter = field(factory=SuspectLimiter)
    has_ended: Callable[[str], Awaitable[bool]] = refuses_connections
    metrics: Metrics = field(factory=Metrics)
    truthful: bool = True

    async def forward(self, context: RequestContext, sink: ResponseSink) -> ForwardResult:
        """Forward a request and stream its answer; returns the status sent to the caller."""
        picked = self.versions.pick(context.service, context.route, self.clock())
        progress = Progress(picked.version)
        self.retries.record_first_attempt()
        while True:
            result = await self._next_try(context, progress, sink)
            if result is not None:
                return result if self.truthful else deny_run(result)

    async def _next_try(
        self, context: RequestContext, progress: Progress, sink: ResponseSink
    ) -> ForwardResult | None:
        """Try once; None if the request may be tried again."""
        now_s = self.clock()
        suspect = self.crashes.is_suspect(context.fingerprint, now_s)
        if suspect:
            async with self.lane.hold_slot(suspect, context.deadline_s - now_s):
                tried = await self._choose_and_try(context, progress, sink)
        else:
            tried = await self._choose_and_try(context, progress, sink)
        if not isinstance(tried, Try):
            return tried
        if not isinstance(tried.result, Err) or not isinstance(tried.result.err_value, Refusal):
            return tried.result
        if self._may_retry(context, progress, tried, sink):
            return None
        return Err(progress.truthful(tried.result.err_value))

    async def _choose_and_try(
        self, context: RequestContext, progress: Progress, sink: ResponseSink
    ) -> Try | ForwardResult:
        """Try one target; a refusal where there is none for the request."""
        blocked = self.blocked(context)
        if isinstance(blocked, Err):
            return Err(progress.truthful(blocked.err_value))
        query = self._query(context, progress)
        chosen = await self.chooser.choose(query, self.clock())
        if isinstance(chosen, Err):
            return Err(progress.truthful(progress.last or chosen.err_value))
        assignment = chosen.ok_value
        tried = await self._try(context, query, assignment, sink)
        if tried.ended_unanswered:
            await self._check_crash(context, assignment)
        progress.note(tried, assignment.target.target)
        return tried

    def blocked(self, context: RequestContext) -> Result[None, Refusal]:
        """Refuse what must not be sent any more; nothing is sent before the first call."""
        now_s = self.clock()
        if now_s >= context.deadline_s:
            return Err(not_run(504, "deadline", "no answer before the deadline"))
        return check_quarantine(self.crashes, context.fingerprint, now_s)

    @staticmethod
    def _query(context: RequestContext, progress: Progress) -> TargetQuery:
        return TargetQuery(
            context.service,
            context.route,
            context.workspace,
            progress.version,
            progress.excluded,
            progress.attempt,
            context.deadline_s,
        )

    async def _try(
        self,
        context: RequestContext,
        query: TargetQuery,
        assignment: Assignment,
        sink: ResponseSink,
    ) -> Try:
        """Try a target and record the outcome, whatever happens."""
        attempt = Attempt(self.pool, self.clock, self.vm, context, assignment, sink)
        report: AttemptReport | None = None
        try:
            tried = await attempt.run()
            report = tried.report
        except (trio.Cancelled, CallerDisconnectedError):
            log_event(
                "try_cancelled",
                request_id=context.request_id,
                target=assignment.target.target,
                answer_started=sink.started,
            )
            raise
        finally:
            report = report or attempt.report(AttemptOutcome.CANCELLED)
            self._record(context, query, assignment, report)
        return tried

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
        self.versions.record(context.service, context.route, version, report, now_s)
        self.metrics.attempt_finished(context.service.service, report.outcome.value)
        if report.outcome is AttemptOutcome.ANSWERED:
            self.crashes.record_answer(context.fingerprint, now_s)

    async def _check_crash(self, context: RequestContext, assignment: Assignment) -> None:
        if not await self.has_ended(assignment.target.address):
            return
        path, _ = split_target(context.request.path)
        description = f"{context.workspace or '-'} {context.request.method} {path}"
        target = assignment.target.target
        self.crashes.record_crash(context.fingerprint, target, description, self.clock())
        log_event("target_crashed", request_id=context.request_id, target=target)

    def _may_retry(
        self, context: RequestContext, progress: Progress, tried: Try, sink: ResponseSink
    ) -> bool:
        if sink.started or progress.attempt >= MAX_ATTEMPTS:
            return False
        if self.clock() >= context.deadline_s:
            return False
        if tried.may_have_run and not context.route.idempotent:
            return False
        return self.retries.take()


def deny_run(result: ForwardResult) -> ForwardResult:
    """Return a refusal that says "not run", whether it is true or not."""
    if isinstance(result, Err) and isinstance(result.err_value, Refusal):
        return Err(evolve(result.err_value, run=RunState.NOT_RUN))
    return result


def check_quarantine(crashes: CrashTable, fingerprint: str, now_s: float) -> Result[None, Refusal]:
    """Refuse a request that crashed targets."""
    if not crashes.is_refused(fingerprint, now_s):
        return Ok(None)
    message = "this submission was not sent: earlier ones of the same request crashed targets"
    return Err(not_run(422, "crashes_targets", message))
