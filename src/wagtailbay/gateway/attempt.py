"""A single attempt to forward a request to a target."""

from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.gateway.const import (
    CONNECT_TIMEOUT_MS,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_IDLE_NON_IDEMPOTENT_S,
    MAX_IDLE_S,
)
from wagtailbay.gateway.models import (
    AttemptResult,
    BufferedResponse,
    GatewayRequest,
    HeaderCodec,
    ResponseDelivered,
    ResponseEvidence,
    ResponseTruncated,
    TargetMetadata,
)
from wagtailbay.placement import Placement, TargetOutcome
from wagtailbay.transport import (
    ClientConnection,
    ConnectionPool,
    FailureKind,
    Headers,
    Request,
    ResponseHead,
    ResponseOwner,
    ResponseSink,
    TransportError,
)
from wagtailbay.transport.const import MAX_RESPONSE_BODY_BYTES
from wagtailbay.transport.wire import end_to_end_headers


@define
class TargetAttempt:
    """Sends a request to one target, within the request's deadline.

    Attributes:
        sink: Receives the response for the caller.
        is_last_attempt: Whether no other target is tried afterwards, so that the caller gets
            any response, also an error.
        max_response_bytes: A response with a larger body is cut off.
        metadata: Metadata of the response to this request, None before its head was received.
        evidence: What each response received, skipped ones included, says about the request.
        response_bytes: Size of the response body received so far.
        streaming: Whether a response that is too large to buffer is being passed on.
        delivery_s: Time that the sink took to accept what had arrived, for which the target is not
            responsible.
        request_sent: Whether any of the request may have been sent, once ``run`` has ended.
    """

    pool: ConnectionPool
    header_codec: HeaderCodec
    clock: Callable[[], float]
    request: GatewayRequest
    placement: Placement
    sink: ResponseSink
    is_last_attempt: bool
    max_response_bytes: int = MAX_RESPONSE_BODY_BYTES
    metadata: TargetMetadata | None = None
    evidence: list[ResponseEvidence] = field(factory=list)
    response_bytes: int = 0
    streaming: bool = False
    delivery_s: float = 0.0
    request_sent: bool = False

    async def run(self) -> AttemptResult:
        """Send the request and deliver the response."""
        remaining_ms = self.request.remaining_ms(self.clock())
        entry = self.placement.target.entry
        non_idempotent = not self.request.route.idempotent
        max_idle_s = MAX_IDLE_NON_IDEMPOTENT_S if non_idempotent else MAX_IDLE_S
        opened = await self.pool.acquire(
            entry.address,
            min(CONNECT_TIMEOUT_MS, remaining_ms),
            self.request.caller.request_id,
            max_idle_s=max_idle_s,
        )
        if isinstance(opened, Err):
            failure = str(opened.err_value)
            return AttemptResult(
                TargetOutcome.UNREACHABLE, None, may_have_run=False, failure=failure
            )
        exchanged = await self._exchange_in_time(opened.ok_value)
        if isinstance(exchanged, BufferedResponse):
            # A response that is ready is delivered even if its turn comes after the deadline. The
            # sink bounds the time that a caller takes to read.
            return await self._deliver(exchanged)
        return exchanged

    async def _exchange_in_time(
        self, connection: ClientConnection
    ) -> BufferedResponse | AttemptResult:
        """Return the complete response, or the result of an exchange that gave none.

        The pool keeps the connection only after a complete exchange.
        """
        connection.allow_unframed = True
        try:
            with trio.move_on_after(self.request.remaining_ms(self.clock()) / 1000):
                exchanged = await self._exchange(connection)
                if isinstance(exchanged, AttemptResult) and exchanged.closed_without_response:
                    self.pool.record_reset(connection)
                return exchanged
            return self._handle_timeout()
        finally:
            self.request_sent = connection.request_sent
            await self.pool.release(connection)

    def _handle_timeout(self) -> AttemptResult:
        if self.sink.started:
            truncated = ResponseTruncated("deadline exceeded while streaming the response")
            return AttemptResult(TargetOutcome.TIMED_OUT, truncated, may_have_run=True)
        if self.streaming:
            # The sink has withdrawn the response, whose turn did not come; the target was in time.
            message = "the response waited for earlier ones until the deadline"
            return AttemptResult(TargetOutcome.GIVEN_UP, None, may_have_run=True, failure=message)
        return AttemptResult(
            TargetOutcome.TIMED_OUT, None, may_have_run=True, failure="no answer in time"
        )

    def _build_request(self) -> Request:
        """Build the request for the target, with its headers set by the header codec."""
        caller, entry = self.request.caller, self.placement.target.entry
        workspace = self.request.workspace.workspace if self.request.workspace else None
        remaining_ms = self.request.remaining_ms(self.clock())
        request = self.request.request
        headers = self.header_codec.target_headers(request, workspace, entry.target, remaining_ms)
        return Request(request.method, request.path, headers, request.body, host=caller.host)

    async def _exchange(self, connection: ClientConnection) -> BufferedResponse | AttemptResult:
        metadata: TargetMetadata | None = None

        def identify(head: ResponseHead) -> ResponseOwner:
            nonlocal metadata
            metadata = self.header_codec.decode_target(head)
            owner = self._find_owner(metadata)
            earlier_responses = connection.responses_received - 1
            self.evidence.append(
                ResponseEvidence(
                    head.status, metadata.not_run, owner, earlier_responses, connection.number
                )
            )
            return owner

        received = await connection.send_and_match(self._build_request(), identify)
        if isinstance(received, Err):
            return self._handle_error(received.err_value)
        # Only now is it known that the last response belongs to this request.
        self.metadata = metadata
        return await self._receive_response(connection, received.ok_value)

    def _find_owner(self, metadata: TargetMetadata) -> ResponseOwner:
        """Return to which request a response belongs."""
        own_id = self.request.caller.request_id
        if not own_id or not metadata.request_id:
            return ResponseOwner.UNNAMED
        return ResponseOwner.THIS if metadata.request_id == own_id else ResponseOwner.OTHER

    async def _receive_response(
        self, connection: ClientConnection, head: ResponseHead
    ) -> BufferedResponse | AttemptResult:
        """Receive the response; return it if it is small enough, else stream it."""
        body = bytearray()
        complete = False
        while not complete and len(body) <= MAX_BUFFERED_RESPONSE_BYTES:
            match await connection.receive_chunk():
                case Err(error):
                    return self._handle_error(error)
                case Ok(None):
                    complete = True
                case Ok(data):
                    body += data
        self.response_bytes = len(body)
        idempotent = self.request.route.idempotent
        if self.metadata.not_run or (self.metadata.misdirected and idempotent):
            return AttemptResult(TargetOutcome.SHED, None, may_have_run=False)
        if self.metadata.promises_not_run and not idempotent:
            # Passed on, the status would tell the caller to send the request again.
            return self._reject_response("a promise without proof")
        if self.metadata.lacks_signature:
            return self._reject_response("a success without a signature")
        headers = end_to_end_headers(head.headers)
        if complete:
            bodiless = self.request.request.method == "HEAD"
            return BufferedResponse(head.status, headers, bytes(body), connection.framed, bodiless)
        prefix = bytes(body)
        # The response may wait for its turn; one copy of what has arrived is enough.
        del body
        return await self._stream(connection, head.status, headers, prefix)

    @staticmethod
    def _reject_response(failure: str) -> AttemptResult:
        return AttemptResult(TargetOutcome.FAILED, None, may_have_run=True, failure=failure)

    async def _deliver(self, response: BufferedResponse) -> AttemptResult:
        target_outcome = TargetOutcome.FAILED if response.status >= 500 else TargetOutcome.ANSWERED
        if (
            target_outcome is TargetOutcome.FAILED
            and not self.is_last_attempt
            and self.request.route.idempotent
        ):
            return AttemptResult(target_outcome, None, may_have_run=True, fallback=response)
        started_s = self.clock()
        try:
            await send_buffered(self.sink, response)
        finally:
            self.delivery_s = self.clock() - started_s
        return AttemptResult(target_outcome, ResponseDelivered(response.status), may_have_run=True)

    async def _stream(
        self, connection: ClientConnection, status: int, headers: Headers, prefix: bytes
    ) -> AttemptResult:
        """Stream a response that is too large to buffer."""
        self.streaming, started_s = True, self.clock()
        try:
            await self.sink.start(status, headers, until_close=not connection.framed)
            await self.sink.send(prefix)
        finally:
            self.delivery_s = self.clock() - started_s
        del prefix
        while True:
            match await connection.receive_chunk():
                case Err(error):
                    return self._handle_error(error)
                case Ok(None):
                    await self.sink.finish()
                    target_outcome = (
                        TargetOutcome.FAILED if status >= 500 else TargetOutcome.ANSWERED
                    )
                    return AttemptResult(
                        target_outcome, ResponseDelivered(status), may_have_run=True
                    )
                case Ok(data):
                    self.response_bytes += len(data)
                    if self.response_bytes > self.max_response_bytes:
                        message = f"more than {self.max_response_bytes} bytes"
                        return self._handle_error(
                            connection.make_error(FailureKind.TOO_LARGE, message)
                        )
                    await self.sink.send(data)

    def _handle_error(self, error: TransportError) -> AttemptResult:
        if self.sink.started:
            return AttemptResult(
                TargetOutcome.BROKEN, ResponseTruncated(str(error)), may_have_run=True
            )
        closed = (
            error.kind is FailureKind.CLOSED and error.request_sent and not error.response_started
        )
        return AttemptResult(
            TargetOutcome.BROKEN,
            None,
            may_have_run=error.request_sent,
            closed_without_response=closed,
            failure=str(error),
        )


async def send_buffered(sink: ResponseSink, response: BufferedResponse) -> None:
    """Send a buffered response to the caller, with its length unless the target stated no end."""
    headers = response.headers
    if not response.bodiless:
        headers = tuple((n, v) for n, v in headers if n.lower() != "content-length")
        if response.framed and response.status not in (204, 304):
            headers += (("Content-Length", str(len(response.body))),)
    await sink.start(response.status, headers, until_close=not response.framed)
    if response.body:
        await sink.send(response.body)
    await sink.finish()
