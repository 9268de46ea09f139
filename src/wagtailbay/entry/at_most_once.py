"""Forward non-idempotent requests at most once and record their responses."""

import hashlib
import re
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.entry.forward import Forwarder
from wagtailbay.entry.models import ForwardResult, RequestContext, ResponseTruncated
from wagtailbay.entry.wire import send_recorded_outcome
from wagtailbay.once import ClaimState, IdempotencyManager, Outcome, Submission
from wagtailbay.once.const import MAX_IDEMPOTENCY_KEY_BYTES, MAX_RECORDED_BODY_BYTES
from wagtailbay.refusals import Refusal, RunState, not_run, outcome_unknown
from wagtailbay.transport import CallerDisconnectedError, Headers, Reply, ResponseSink

IDEMPOTENCY_KEY_PATTERN = re.compile(rf"[\x21-\x7e]{{1,{MAX_IDEMPOTENCY_KEY_BYTES}}}")


@define
class ResponseRecorder:
    """Buffers a response until its outcome is recorded, and streams it above 64 KB.

    If the caller disconnects, the response is still received, since its outcome must be recorded.

    Attributes:
        sink: Receives the response for the caller.
        started: Whether the target's response has started.
        finished: Whether the response is complete.
        streaming: Whether the response is being sent to the caller.
        buffer: Part of the body that is not sent to the caller yet.
        body_bytes: Size of the body received so far.
        hasher: Digest of the body received so far.
    """

    sink: ResponseSink
    started: bool = False
    finished: bool = False
    streaming: bool = False
    caller_disconnected: bool = False
    status: int = 0
    headers: Headers = ()
    until_close: bool = False
    buffer: bytearray = field(factory=bytearray)
    body_bytes: int = 0
    hasher: Any = field(factory=hashlib.sha256)

    async def start(self, status: int, headers: Headers, until_close: bool = False) -> None:
        """Buffer the head."""
        self.started = True
        self.status, self.headers, self.until_close = status, headers, until_close

    async def send(self, data: bytes) -> None:
        """Buffer a chunk of the body, or stream it if the body is too large to record."""
        self.hasher.update(data)
        self.body_bytes += len(data)
        self.buffer += data
        if self.body_bytes > MAX_RECORDED_BODY_BYTES:
            await self._flush()

    async def finish(self) -> None:
        """Mark the response as complete."""
        self.finished = True

    async def deliver(self) -> None:
        """Send the buffered data and the end of the response to the caller."""
        await self._flush()
        if self.caller_disconnected:
            raise CallerDisconnectedError
        await self.sink.finish()

    async def _flush(self) -> None:
        data, self.buffer = bytes(self.buffer), bytearray()
        try:
            if not self.streaming and not self.caller_disconnected:
                self.streaming = True
                await self.sink.start(self.status, self.headers, self.until_close)
            if data and not self.caller_disconnected:
                await self.sink.send(data)
        except CallerDisconnectedError:
            self.caller_disconnected = True

    def outcome(self) -> Outcome | None:
        """Return the outcome to record, or None if the response is incomplete."""
        if not self.finished:
            return None
        body = bytes(self.buffer) if self.body_bytes <= MAX_RECORDED_BODY_BYTES else None
        digest = self.hasher.hexdigest()
        return Outcome(self.status, self.headers, body, self.body_bytes, digest)


@define
class AtMostOnceForwarder:
    """Claims the idempotency key, forwards the request, records the outcome, then responds."""

    idempotency_manager: IdempotencyManager
    forwarder: Forwarder

    async def forward(self, context: RequestContext, reply: Reply) -> ForwardResult:
        """Forward a request, or replay the recorded outcome of an earlier submission."""
        key = parse_idempotency_key(context)
        if isinstance(key, Err):
            return key
        request = context.request
        submission = Submission(
            context.workspace, key.ok_value, request.method, request.path, request.body
        )
        match await self.idempotency_manager.claim(submission, context.deadline_s):
            case Err(refusal):
                return Err(refusal)
            case Ok(Outcome() as outcome):
                await send_recorded_outcome(reply, outcome)
                return Ok(outcome.status)
            case Ok(claim):
                recorder = ResponseRecorder(reply)
        result: ForwardResult | None = None
        # Shielded, because the outcome must be recorded even if the caller disconnects.
        with trio.CancelScope(shield=True):
            try:
                result = await self.forwarder.forward(context, recorder)
            finally:
                outcome = recorder.outcome()
                await self.idempotency_manager.finish(claim, claim_state(result, outcome), outcome)
        if outcome is not None:
            await recorder.deliver()
            return Ok(outcome.status)
        if isinstance(result, Err) and isinstance(result.err_value, ResponseTruncated):
            return self._handle_truncation(recorder, result.err_value)
        return result

    @staticmethod
    def _handle_truncation(
        recorder: ResponseRecorder, truncated: ResponseTruncated
    ) -> ForwardResult:
        """Return a refusal unless part of the truncated response was sent to the caller."""
        if recorder.streaming:
            return Err(truncated)
        message = "the target's answer broke off; the request may have run"
        return Err(outcome_unknown(502, "target_failed", message))


def claim_state(result: ForwardResult | None, outcome: Outcome | None) -> ClaimState:
    """Return the state to store in the claim at the end of its request."""
    if outcome is not None:
        return ClaimState.ANSWERED
    match result:
        case Err(Refusal(run=RunState.NOT_RUN)):
            return ClaimState.NOT_SENT
        case _:
            return ClaimState.UNKNOWN


def parse_idempotency_key(context: RequestContext) -> Result[str, Refusal]:
    """Return the idempotency key of a request, or a refusal if it is missing or invalid."""
    key = context.request.header("Idempotency-Key")
    if not key:
        message = "this route needs the header Idempotency-Key"
        return Err(not_run(400, "idempotency_key_missing", message))
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        message = (
            f"Idempotency-Key must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters"
        )
        return Err(not_run(400, "malformed_request", message))
    return Ok(key)
