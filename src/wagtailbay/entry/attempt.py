"""A single attempt to forward a request to a target."""

import math
from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.entry.const import CONNECT_TIMEOUT_MS, REQUEST_ID_HEADER, RUN_HEADER
from wagtailbay.entry.models import AttemptResult, RequestContext, ResponseTruncated
from wagtailbay.entry.wire import build_response_headers, build_target_request
from wagtailbay.refusals import not_run, outcome_unknown
from wagtailbay.steer import Assignment, AttemptOutcome, AttemptReport
from wagtailbay.transport import (
    ClientConnection,
    ConnectionPool,
    FailureKind,
    ResponseHead,
    ResponseOwner,
    ResponseSink,
    TransportError,
)
from wagtailbay.transport.const import MAX_RESPONSE_BODY_BYTES


@define
class Attempt:
    """Sends a request to one target and streams its response to the caller.

    Attributes:
        started_s: Start of the attempt, for its latency.
        cancel_scope: Cancels the attempt at the deadline, or at the idle timeout while it waits
            for data from the target.
        deadline_s: Deadline of the request on trio's clock.
        idle_timer_active: Whether the cancel scope is set to the idle timeout.
    """

    pool: ConnectionPool
    clock: Callable[[], float]
    vm: str
    context: RequestContext
    assignment: Assignment
    sink: ResponseSink
    started_s: float = field(init=False)
    cancel_scope: trio.CancelScope | None = None
    deadline_s: float = math.inf
    idle_timer_active: bool = False

    def __attrs_post_init__(self) -> None:
        """Record the start time."""
        self.started_s = self.clock()

    async def run(self) -> AttemptResult:
        """Send the request and stream the response, within the request's deadline."""
        remaining_ms = self.context.remaining_ms(self.started_s)
        if remaining_ms <= 0:
            return self._handle_deadline(request_sent=False)
        connect_ms = min(CONNECT_TIMEOUT_MS, remaining_ms)
        address = self.assignment.target.address
        fresh = not self.context.route.idempotent
        opened = await self.pool.acquire(address, connect_ms, self.context.request_id, fresh)
        if isinstance(opened, Err):
            refusal = not_run(502, "target_unreachable", "the target cannot be reached")
            report = self.build_report(AttemptOutcome.CONNECT_FAILED)
            return AttemptResult(Err(refusal), report, may_have_run=False)
        connection = opened.ok_value
        try:
            remaining_ms = self.context.remaining_ms(self.clock())
            if remaining_ms > 0:
                now_s = trio.current_time()
                self.deadline_s = now_s + remaining_ms / 1000
                idle_deadline_s = now_s + self.idle_timeout_s
                self.idle_timer_active = idle_deadline_s < self.deadline_s
                with trio.CancelScope(
                    deadline=min(self.deadline_s, idle_deadline_s)
                ) as self.cancel_scope:
                    return await self._exchange(connection)
                if self.idle_timer_active:
                    error = TransportError(
                        FailureKind.TIMEOUT,
                        "no data from the target within the idle timeout",
                        connection.request_sent,
                    )
                    return self._handle_error(error)
            return self._handle_deadline(connection.request_sent)
        finally:
            await self.pool.release(connection)

    def _handle_deadline(self, request_sent: bool) -> AttemptResult:
        report = self.build_report(AttemptOutcome.TIMED_OUT)
        if self.sink.started:
            truncated = ResponseTruncated("deadline exceeded while streaming the response")
            return AttemptResult(Err(truncated), report, may_have_run=True)
        make_refusal = outcome_unknown if request_sent else not_run
        refusal = make_refusal(504, "deadline", "no answer before the deadline")
        return AttemptResult(Err(refusal), report, may_have_run=request_sent)

    async def _exchange(self, connection: ClientConnection) -> AttemptResult:
        request = build_target_request(self.context, self.clock())
        sent = await connection.send_and_match(request, self._identify_response)
        self._stop_idle_timer()
        if isinstance(sent, Err):
            return self._handle_error(sent.err_value)
        head = sent.ok_value
        if head.status == 503 and head.header(RUN_HEADER) == "not-run":
            await connection.discard_body()
            refusal = not_run(503, "shed", "the target is overloaded", retry_after_ms=1_000)
            return AttemptResult(
                Err(refusal), self.build_report(AttemptOutcome.SHED, 503), may_have_run=False
            )
        return await self._stream(connection, head)

    def _identify_response(self, head: ResponseHead) -> ResponseOwner:
        """Return to which request a response belongs."""
        named = head.header(REQUEST_ID_HEADER)
        if named is None:
            return ResponseOwner.UNNAMED
        return ResponseOwner.THIS if named == self.context.request_id else ResponseOwner.OTHER

    def _start_idle_timer(self) -> None:
        """Set the cancel scope to the idle timeout.

        Moving the deadline of one scope is cheaper than a new scope for each wait.
        """
        idle_deadline_s = trio.current_time() + self.idle_timeout_s
        if idle_deadline_s < self.deadline_s:
            self.cancel_scope.deadline = idle_deadline_s
            self.idle_timer_active = True

    def _stop_idle_timer(self) -> None:
        """Set the cancel scope back to the request's deadline."""
        if self.idle_timer_active:
            self.cancel_scope.deadline = self.deadline_s
            self.idle_timer_active = False

    @property
    def idle_timeout_s(self) -> float:
        """Return the idle timeout; infinite for requests that are not retried after it."""
        route = self.context.route
        return route.idle_timeout_ms / 1000 if route.idempotent else math.inf

    def _handle_error(self, error: TransportError) -> AttemptResult:
        timed_out = error.kind is FailureKind.TIMEOUT
        report = self.build_report(AttemptOutcome.TIMED_OUT if timed_out else AttemptOutcome.BROKEN)
        if self.sink.started:
            return AttemptResult(Err(ResponseTruncated(str(error))), report, may_have_run=True)
        status, code = (504, "target_timeout") if timed_out else (502, "target_failed")
        make_refusal = outcome_unknown if error.request_sent else not_run
        refusal = make_refusal(
            status, code, f"the target gave no usable answer: {error.kind.value}"
        )
        closed = (
            error.kind is FailureKind.CLOSED and error.request_sent and not error.response_started
        )
        return AttemptResult(
            Err(refusal), report, error.request_sent, closed_without_response=closed
        )

    async def _stream(self, connection: ClientConnection, head: ResponseHead) -> AttemptResult:
        """Stream the response; the head is sent once the first chunk of the body is available."""
        received_bytes = 0
        while True:
            chunk = connection.receive_chunk_nowait()
            if chunk is None:
                self._start_idle_timer()
                chunk = await connection.receive_chunk()
                self._stop_idle_timer()
            if isinstance(chunk, Err):
                return self._handle_error(chunk.err_value)
            if not self.sink.started:
                headers = build_response_headers(self.context, self.vm, self.assignment, head)
                await self.sink.start(head.status, headers)
            if chunk.ok_value is None:
                await self.sink.finish()
                report = self.build_report(AttemptOutcome.ANSWERED, head.status, received_bytes)
                return AttemptResult(Ok(head.status), report, may_have_run=True)
            received_bytes += len(chunk.ok_value)
            if received_bytes > MAX_RESPONSE_BODY_BYTES:
                error = connection.make_error(FailureKind.TOO_LARGE, f"{received_bytes} bytes")
                return self._handle_error(error)
            await self.sink.send(chunk.ok_value)

    def build_report(
        self, outcome: AttemptOutcome, status: int | None = None, response_bytes: int = 0
    ) -> AttemptReport:
        """Build the report of this attempt for the chooser and version statistics."""
        latency_ms = (self.clock() - self.started_s) * 1000
        return AttemptReport(outcome, status, latency_ms, response_bytes)
