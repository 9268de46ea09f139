"""Try one target."""

import math
from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.entry.const import CONNECT_TIMEOUT_MS, RUN_HEADER
from wagtailbay.entry.models import AnswerCut, RequestContext, Try
from wagtailbay.entry.wire import answer_headers, target_request
from wagtailbay.refusals import not_run, outcome_unknown
from wagtailbay.steer import Assignment, AttemptOutcome, AttemptReport
from wagtailbay.transport import (
    ClientConnection,
    ConnectionPool,
    FailureKind,
    ResponseHead,
    ResponseSink,
    TransportError,
)


@define
class Attempt:
    """Send a request to one target and pass its answer on.

    Attributes:
        scope: Ends the try at its deadline, or earlier while it waits for the target's bytes.
        due_s: The deadline of the request on trio's clock.
        idle: Whether the try waits for the target's bytes, at most for the idle timeout.
    """

    pool: ConnectionPool
    clock: Callable[[], float]
    vm: str
    context: RequestContext
    assignment: Assignment
    sink: ResponseSink
    started_s: float = field(init=False)
    scope: trio.CancelScope | None = None
    due_s: float = math.inf
    idle: bool = False

    def __attrs_post_init__(self) -> None:
        """Note the start."""
        self.started_s = self.clock()

    async def run(self) -> Try:
        """Try the target within the request's deadline."""
        remaining_ms = self.context.remaining_ms(self.started_s)
        if remaining_ms <= 0:
            return self._late(request_sent=False)
        connect_ms = min(CONNECT_TIMEOUT_MS, remaining_ms)
        address = self.assignment.target.address
        fresh = not self.context.route.idempotent
        opened = await self.pool.acquire(address, connect_ms, fresh)
        if isinstance(opened, Err):
            refusal = not_run(502, "target_unreachable", "the target cannot be reached")
            report = self.report(AttemptOutcome.CONNECT_FAILED)
            return Try(Err(refusal), report, may_have_run=False)
        connection = opened.ok_value
        try:
            left_ms = self.context.remaining_ms(self.clock())
            if left_ms > 0:
                now_s = trio.current_time()
                self.due_s = now_s + left_ms / 1000
                idle_s = now_s + self.idle_timeout_s
                self.idle = idle_s < self.due_s
                with trio.CancelScope(deadline=min(self.due_s, idle_s)) as self.scope:
                    return await self._exchange(connection)
                if self.idle:
                    error = TransportError(
                        FailureKind.TIMEOUT, "target idle", connection.request_sent
                    )
                    return self._failed(error)
            return self._late(connection.request_sent)
        finally:
            await self.pool.release(connection)

    def _late(self, request_sent: bool) -> Try:
        report = self.report(AttemptOutcome.TIMED_OUT)
        if self.sink.started:
            cut = AnswerCut("the deadline passed while the answer was sent")
            return Try(Err(cut), report, may_have_run=True)
        refuse = outcome_unknown if request_sent else not_run
        refusal = refuse(504, "deadline", "no answer before the deadline")
        return Try(Err(refusal), report, may_have_run=request_sent)

    async def _exchange(self, connection: ClientConnection) -> Try:
        request = target_request(self.context, self.clock())
        sent = await connection.send(request)
        self._end_idle()
        if isinstance(sent, Err):
            return self._failed(sent.err_value)
        head = sent.ok_value
        if head.status == 503 and head.header(RUN_HEADER) == "not-run":
            await self._discard_body(connection)
            refusal = not_run(503, "shed", "the target is overloaded", retry_after_ms=1_000)
            return Try(Err(refusal), self.report(AttemptOutcome.SHED, 503), may_have_run=False)
        return await self._stream(connection, head)

    def _begin_idle(self) -> None:
        """Let the idle timeout end the try; one scope with a moving deadline is cheapest."""
        idle_s = trio.current_time() + self.idle_timeout_s
        if idle_s < self.due_s:
            self.scope.deadline = idle_s
            self.idle = True

    def _end_idle(self) -> None:
        """Let only the deadline end the try."""
        if self.idle:
            self.scope.deadline = self.due_s
            self.idle = False

    @property
    def idle_timeout_s(self) -> float:
        """Return the longest wait for bytes; without a retry only the deadline ends a try."""
        route = self.context.route
        return route.idle_timeout_ms / 1000 if route.idempotent else math.inf

    @staticmethod
    async def _discard_body(connection: ClientConnection) -> None:
        while isinstance(chunk := await connection.receive_chunk(), Ok):
            if chunk.ok_value is None:
                return

    def _failed(self, error: TransportError) -> Try:
        timed_out = error.kind is FailureKind.TIMEOUT
        report = self.report(AttemptOutcome.TIMED_OUT if timed_out else AttemptOutcome.BROKEN)
        if self.sink.started:
            return Try(Err(AnswerCut(str(error))), report, may_have_run=True)
        status, code = (504, "target_timeout") if timed_out else (502, "target_failed")
        refuse = outcome_unknown if error.request_sent else not_run
        refusal = refuse(status, code, f"the target gave no usable answer: {error.kind.value}")
        ended = (
            error.kind is FailureKind.CLOSED and error.request_sent and not error.response_started
        )
        return Try(Err(refusal), report, error.request_sent, ended_unanswered=ended)

    async def _stream(self, connection: ClientConnection, head: ResponseHead) -> Try:
        """Pass the body on as it arrives; the head waits for the first part of the body."""
        received_bytes = 0
        while True:
            chunk = connection.receive_chunk_nowait()
            if chunk is None:
                self._begin_idle()
                chunk = await connection.receive_chunk()
                self._end_idle()
            if isinstance(chunk, Err):
                return self._failed(chunk.err_value)
            if not self.sink.started:
                headers = answer_headers(self.context, self.vm, self.assignment, head)
                await self.sink.start(head.status, headers)
            if chunk.ok_value is None:
                await self.sink.finish()
                report = self.report(AttemptOutcome.ANSWERED, head.status, received_bytes)
                return Try(Ok(head.status), report, may_have_run=True)
            received_bytes += len(chunk.ok_value)
            await self.sink.send(chunk.ok_value)

    def report(
        self, outcome: AttemptOutcome, status: int | None = None, response_bytes: int = 0
    ) -> AttemptReport:
        """Build the report of this try."""
        latency_ms = (self.clock() - self.started_s) * 1000
        return AttemptReport(outcome, status, latency_ms, response_bytes)
