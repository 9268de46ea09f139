"""Send a request to one target and take its answer."""

from collections.abc import Callable

import trio
from attrs import define
from result import Err, Ok

from wagtailbay.gateway.const import (
    CONNECT_TIMEOUT_MS,
    MAX_FOREIGN_ANSWERS,
    MAX_HELD_BYTES,
    MAX_IDLE_FOR_ONCE_S,
    MAX_IDLE_S,
)
from wagtailbay.gateway.models import (
    AnswerBroken,
    Answered,
    GatewayRequest,
    HeldAnswer,
    TargetHead,
    TryOutcome,
    Vocabulary,
)
from wagtailbay.placement import LoadReport, Placement, TargetOutcome
from wagtailbay.transport import (
    ClientConnection,
    ConnectionPool,
    FailureKind,
    Headers,
    Request,
    ResponseHead,
    ResponseSink,
    TransportError,
)
from wagtailbay.transport.wire import end_to_end_headers


@define
class TargetTry:
    """Send a request to one target within the time that is left for it.

    Attributes:
        sink: Takes the answer.
        last: Whether no other target will be tried, so that any answer goes to the caller.
        load: What the target said of its load.
        answer_bytes: Of the answer's body, as far as it was received.
    """

    pool: ConnectionPool
    vocabulary: Vocabulary
    clock: Callable[[], float]
    request: GatewayRequest
    placement: Placement
    sink: ResponseSink
    last: bool
    load: LoadReport | None = None
    answer_bytes: int = 0

    async def run(self) -> TryOutcome:
        """Carry out the try; the connection is kept only after a whole exchange."""
        left_ms = self.request.left_ms(self.clock())
        entry = self.placement.target.entry
        once = not self.request.route.idempotent
        max_idle_s = MAX_IDLE_FOR_ONCE_S if once else MAX_IDLE_S
        opened = await self.pool.acquire(
            entry.address, min(CONNECT_TIMEOUT_MS, left_ms), max_idle_s=max_idle_s
        )
        if isinstance(opened, Err):
            return TryOutcome(TargetOutcome.UNREACHABLE, None, may_have_run=False)
        connection = opened.ok_value
        connection.allow_unframed = True
        try:
            with trio.move_on_after(self.request.left_ms(self.clock()) / 1000):
                outcome = await self._exchange(connection)
                if outcome.ended_unanswered:
                    self.pool.record_reset(connection)
                return outcome
            return self._timed_out()
        finally:
            await self.pool.release(connection)

    def _timed_out(self) -> TryOutcome:
        if self.sink.started:
            broken = AnswerBroken("the time was over while the answer was sent")
            return TryOutcome(TargetOutcome.TIMED_OUT, broken, may_have_run=True)
        return TryOutcome(TargetOutcome.TIMED_OUT, None, may_have_run=True)

    def _encode(self) -> Request:
        """Build the request for the target."""
        caller, entry = self.request.caller, self.placement.target.entry
        workspace = self.request.workspace.workspace if self.request.workspace else None
        left_ms = self.request.left_ms(self.clock())
        request = self.request.request
        headers = self.vocabulary.target_headers(request, workspace, entry.target, left_ms)
        return Request(request.method, request.path, headers, request.body, host=caller.host)

    async def _exchange(self, connection: ClientConnection) -> TryOutcome:
        received = await connection.send(self._encode())
        for _ in range(MAX_FOREIGN_ANSWERS + 1):
            if isinstance(received, Err):
                return self._failed(received.err_value)
            head = received.ok_value
            said = self.vocabulary.read_target(head)
            if said.request_id in (None, self.request.caller.request_id):
                return await self._take(connection, head, said)
            # A late second answer to an earlier request; this one's may still follow.
            received = await connection.skip_response()
        return self._failed(
            connection.make_error(FailureKind.PROTOCOL, "answers to other requests")
        )

    async def _take(
        self, connection: ClientConnection, head: ResponseHead, said: TargetHead
    ) -> TryOutcome:
        """Take the answer; it goes to the caller whole where it is not too large."""
        self.load = said.load
        body = bytearray()
        complete = False
        while not complete and len(body) <= MAX_HELD_BYTES:
            match await connection.receive_chunk():
                case Err(error):
                    return self._failed(error)
                case Ok(None):
                    complete = True
                case Ok(data):
                    body += data
        self.answer_bytes = len(body)
        if said.not_run:
            return TryOutcome(TargetOutcome.SHED, None, may_have_run=False)
        headers = end_to_end_headers(head.headers)
        if complete:
            return await self._deliver(HeldAnswer(head.status, headers, bytes(body)))
        return await self._stream(connection, head.status, headers, bytes(body))

    async def _deliver(self, answer: HeldAnswer) -> TryOutcome:
        sign = TargetOutcome.FAILED if answer.status >= 500 else TargetOutcome.ANSWERED
        if sign is TargetOutcome.FAILED and not self.last and self.request.route.idempotent:
            return TryOutcome(sign, None, may_have_run=True, held=answer)
        await send_held(self.sink, answer)
        return TryOutcome(sign, Answered(answer.status), may_have_run=True)

    async def _stream(
        self, connection: ClientConnection, status: int, headers: Headers, first: bytes
    ) -> TryOutcome:
        """Pass a large answer on as it arrives."""
        await self.sink.start(status, headers)
        await self.sink.send(first)
        while True:
            match await connection.receive_chunk():
                case Err(error):
                    return self._failed(error)
                case Ok(None):
                    await self.sink.finish()
                    sign = TargetOutcome.FAILED if status >= 500 else TargetOutcome.ANSWERED
                    return TryOutcome(sign, Answered(status), may_have_run=True)
                case Ok(data):
                    self.answer_bytes += len(data)
                    await self.sink.send(data)

    def _failed(self, error: TransportError) -> TryOutcome:
        if self.sink.started:
            return TryOutcome(TargetOutcome.BROKEN, AnswerBroken(str(error)), may_have_run=True)
        ended = (
            error.kind is FailureKind.CLOSED and error.request_sent and not error.response_started
        )
        return TryOutcome(
            TargetOutcome.BROKEN, None, may_have_run=error.request_sent, ended_unanswered=ended
        )


async def send_held(sink: ResponseSink, answer: HeldAnswer) -> None:
    """Send a whole answer to the caller."""
    headers = tuple((n, v) for n, v in answer.headers if n.lower() != "content-length")
    if answer.status not in (204, 304):
        headers += (("Content-Length", str(len(answer.body))),)
    await sink.start(answer.status, headers)
    if answer.body:
        await sink.send(answer.body)
    await sink.finish()
