"""Send a request to a target and its answer back to the caller."""

from collections.abc import Callable

import trio
from attrs import define, frozen
from result import Err, Ok, Result

from wagtailbay.entry.const import CONNECT_TIMEOUT_MS, MAX_ATTEMPTS, RUN_HEADER
from wagtailbay.entry.models import RequestContext
from wagtailbay.entry.wire import target_request
from wagtailbay.refusals import Refusal, not_run, outcome_unknown
from wagtailbay.shift import VersionPicker
from wagtailbay.steer import Assignment, AttemptOutcome, AttemptReport, Chooser, TargetQuery
from wagtailbay.transport import (
    ClientConnection,
    ConnectionPool,
    FailureKind,
    Reply,
    ResponseHead,
    TransportError,
)
from wagtailbay.transport.wire import end_to_end_headers


@frozen
class AnswerCut:
    """Report an answer that broke off after its first byte had reached the caller."""

    message: str


ForwardResult = Result[int, Refusal | AnswerCut]


@define
class Forwarder:
    """Try targets until one answers, the deadline passes or a retry would not be safe."""

    chooser: Chooser
    versions: VersionPicker
    pool: ConnectionPool
    clock: Callable[[], float]
    vm: str

    async def forward(self, context: RequestContext, reply: Reply) -> ForwardResult:
        """Forward a request and stream its answer; returns the status sent to the caller."""
        version = self.versions.pick(context.service, context.route, self.clock()).version
        excluded: frozenset[str] = frozenset()
        last: Refusal = not_run(503, "no_target", "no target can take the request")
        for attempt in range(MAX_ATTEMPTS):
            query = TargetQuery(
                context.service,
                context.route,
                context.workspace,
                version,
                excluded,
                attempt,
                context.deadline_s,
            )
            chosen = await self.chooser.choose(query, self.clock())
            if isinstance(chosen, Err):
                return Err(last if attempt else chosen.err_value)
            assignment = chosen.ok_value
            result, report = await self._attempt(context, assignment, reply)
            self._record(context, query, assignment, report)
            match result:
                case Err(Refusal() as refusal) if self._may_retry(context, report, reply):
                    last = refusal
                    excluded |= {assignment.target.target}
                case _:
                    return result
        return Err(last)

    def _may_retry(self, context: RequestContext, report: AttemptReport, reply: Reply) -> bool:
        if reply.started or self.clock() >= context.deadline_s:
            return False
        if report.outcome in (AttemptOutcome.SHED, AttemptOutcome.CONNECT_FAILED):
            return True
        return context.route.idempotent

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

    async def _attempt(
        self, context: RequestContext, assignment: Assignment, reply: Reply
    ) -> tuple[ForwardResult, AttemptReport]:
        """Try one target; the report is complete whatever happens."""
        started_s = self.clock()
        remaining_ms = context.remaining_ms(started_s)
        connect_ms = max(1, min(CONNECT_TIMEOUT_MS, remaining_ms))
        opened = await self.pool.acquire(assignment.target.address, connect_ms)
        if isinstance(opened, Err):
            refusal = not_run(502, "target_unreachable", str(opened.err_value))
            return Err(refusal), self._report(AttemptOutcome.CONNECT_FAILED, None, started_s)
        connection = opened.ok_value
        try:
            with trio.move_on_after(context.remaining_ms(self.clock()) / 1000):
                return await self._exchange(context, connection, assignment, reply, started_s)
            return self._late(reply, started_s)
        finally:
            with trio.CancelScope(shield=True):
                await self.pool.release(connection)

    def _late(self, reply: Reply, started_s: float) -> tuple[ForwardResult, AttemptReport]:
        report = self._report(AttemptOutcome.TIMED_OUT, None, started_s)
        if reply.started:
            return Err(AnswerCut("the deadline passed while the answer was sent")), report
        return Err(outcome_unknown(504, "deadline", "no answer before the deadline")), report

    async def _exchange(
        self,
        context: RequestContext,
        connection: ClientConnection,
        assignment: Assignment,
        reply: Reply,
        started_s: float,
    ) -> tuple[ForwardResult, AttemptReport]:
        request = target_request(context, self.clock())
        idle_timeout_s = context.route.idle_timeout_ms / 1000
        sent: Result[ResponseHead, TransportError] | None = None
        with trio.move_on_after(idle_timeout_s):
            sent = await connection.send(request)
        if sent is None:
            sent = Err(TransportError(FailureKind.TIMEOUT, "target idle", True))
        if isinstance(sent, Err):
            return self._failed(sent.err_value, started_s)
        head = sent.ok_value
        if head.status == 503 and head.header(RUN_HEADER) == "not-run":
            await self._discard_body(connection)
            refusal = not_run(503, "shed", "the target is overloaded", retry_after_ms=1_000)
            return Err(refusal), self._report(AttemptOutcome.SHED, 503, started_s)
        return await self._stream(context, connection, assignment, head, reply, started_s)

    @staticmethod
    async def _discard_body(connection: ClientConnection) -> None:
        while isinstance(chunk := await connection.receive_chunk(), Ok):
            if chunk.ok_value is None:
                return

    def _failed(
        self, error: TransportError, started_s: float
    ) -> tuple[ForwardResult, AttemptReport]:
        timed_out = error.kind is FailureKind.TIMEOUT
        outcome = AttemptOutcome.TIMED_OUT if timed_out else AttemptOutcome.BROKEN
        status, code = (504, "target_timeout") if timed_out else (502, "target_failed")
        refusal = outcome_unknown(status, code, f"the target gave no usable answer: {error}")
        return Err(refusal), self._report(outcome, None, started_s)

    async def _stream(
        self,
        context: RequestContext,
        connection: ClientConnection,
        assignment: Assignment,
        head: ResponseHead,
        reply: Reply,
        started_s: float,
    ) -> tuple[ForwardResult, AttemptReport]:
        """Pass the body on as it arrives; the head waits for the first part of the body."""
        idle_timeout_s = context.route.idle_timeout_ms / 1000
        received_bytes = 0
        while True:
            chunk: Result[bytes | None, TransportError] | None = None
            with trio.move_on_after(idle_timeout_s):
                chunk = await connection.receive_chunk()
            if chunk is None:
                chunk = Err(TransportError(FailureKind.TIMEOUT, "target idle", True, True))
            if isinstance(chunk, Err):
                result, report = self._failed(chunk.err_value, started_s)
                return (Err(AnswerCut(str(chunk.err_value))) if reply.started else result), report
            if not reply.started:
                await reply.start(head.status, self._answer_headers(context, assignment, head))
            if chunk.ok_value is None:
                await reply.finish()
                report = self._report(
                    AttemptOutcome.ANSWERED, head.status, started_s, received_bytes
                )
                return Ok(head.status), report
            received_bytes += len(chunk.ok_value)
            await reply.send(chunk.ok_value)

    def _answer_headers(
        self, context: RequestContext, assignment: Assignment, head: ResponseHead
    ) -> tuple[tuple[str, str], ...]:
        return (
            *end_to_end_headers(head.headers),
            ("Wagtailbay-Request-Id", context.request_id),
            ("Wagtailbay-Vm", self.vm),
            ("Wagtailbay-Target", assignment.target.target),
        )

    def _report(
        self,
        outcome: AttemptOutcome,
        status: int | None,
        started_s: float,
        response_bytes: int = 0,
    ) -> AttemptReport:
        latency_ms = (self.clock() - started_s) * 1000
        return AttemptReport(outcome, status, latency_ms, response_bytes)
