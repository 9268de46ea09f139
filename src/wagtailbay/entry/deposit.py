"""Forward a non-idempotent request at most once and record its answer."""

import hashlib
import re
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.entry.forward import Forwarder
from wagtailbay.entry.models import AnswerCut, ForwardResult, RequestContext
from wagtailbay.entry.wire import send_outcome
from wagtailbay.once import ClaimState, IdempotencyManager, Outcome, Submission
from wagtailbay.once.const import MAX_IDEMPOTENCY_KEY_BYTES, MAX_RECORDED_BODY_BYTES
from wagtailbay.refusals import Refusal, RunState, not_run, outcome_unknown
from wagtailbay.transport import AnswerSink, CallerGoneError, Headers, Reply

KEY_PATTERN = re.compile(rf"[\x21-\x7e]{{1,{MAX_IDEMPOTENCY_KEY_BYTES}}}")


@define
class OutcomeRecorder:
    """Keep an answer until its outcome is recorded; one above 64 KB is passed on as it comes.

    A caller that leaves does not end the target's answer, since its outcome must be recorded.
    """

    sink: AnswerSink
    started: bool = False
    finished: bool = False
    passing: bool = False
    caller_gone: bool = False
    status: int = 0
    headers: Headers = ()
    kept: bytearray = field(factory=bytearray)
    body_bytes: int = 0
    digest: Any = field(factory=hashlib.sha256)

    async def start(self, status: int, headers: Headers) -> None:
        """Keep the head."""
        self.started = True
        self.status, self.headers = status, headers

    async def send(self, data: bytes) -> None:
        """Keep or pass on a part of the body."""
        self.digest.update(data)
        self.body_bytes += len(data)
        self.kept += data
        if self.body_bytes > MAX_RECORDED_BODY_BYTES:
            await self._pass_on()

    async def finish(self) -> None:
        """Note that the answer is complete."""
        self.finished = True

    async def deliver(self) -> None:
        """Send what is kept and the end of the answer."""
        await self._pass_on()
        if self.caller_gone:
            raise CallerGoneError
        await self.sink.finish()

    async def _pass_on(self) -> None:
        data, self.kept = bytes(self.kept), bytearray()
        try:
            if not self.passing and not self.caller_gone:
                self.passing = True
                await self.sink.start(self.status, self.headers)
            if data and not self.caller_gone:
                await self.sink.send(data)
        except CallerGoneError:
            self.caller_gone = True

    def outcome(self) -> Outcome | None:
        """Return the outcome, or None if the answer is not complete."""
        if not self.finished:
            return None
        body = bytes(self.kept) if self.body_bytes <= MAX_RECORDED_BODY_BYTES else None
        digest = self.digest.hexdigest()
        return Outcome(self.status, self.headers, body, self.body_bytes, digest)


@define
class DepositForwarder:
    """Claim the caller's key, forward once, record the outcome, then answer."""

    gate: IdempotencyManager
    forwarder: Forwarder

    async def forward(self, context: RequestContext, reply: Reply) -> ForwardResult:
        """Forward a request or send the recorded outcome of an earlier submission."""
        key = read_key(context)
        if isinstance(key, Err):
            return key
        request = context.request
        submission = Submission(
            context.workspace, key.ok_value, request.method, request.path, request.body
        )
        match await self.gate.claim(submission, context.deadline_s):
            case Err(refusal):
                return Err(refusal)
            case Ok(Outcome() as outcome):
                await send_outcome(reply, outcome)
                return Ok(outcome.status)
            case Ok(claim):
                recorder = OutcomeRecorder(reply)
        result: ForwardResult | None = None
        # From here on the caller may leave, but what the target did must be recorded.
        with trio.CancelScope(shield=True):
            try:
                result = await self.forwarder.forward(context, recorder)
            finally:
                outcome = recorder.outcome()
                await self.gate.finish(claim, final_state(result, outcome), outcome)
        if outcome is not None:
            await recorder.deliver()
            return Ok(outcome.status)
        if isinstance(result, Err) and isinstance(result.err_value, AnswerCut):
            return self._cut(recorder, result.err_value)
        return result

    @staticmethod
    def _cut(recorder: OutcomeRecorder, cut: AnswerCut) -> ForwardResult:
        """Refuse as long as the caller has no byte of the broken answer."""
        if recorder.passing:
            return Err(cut)
        message = "the target's answer broke off; the request may have run"
        return Err(outcome_unknown(502, "target_failed", message))


def final_state(result: ForwardResult | None, outcome: Outcome | None) -> ClaimState:
    """Return what a claim's object says at the end of its request."""
    if outcome is not None:
        return ClaimState.ANSWERED
    match result:
        case Err(Refusal(run=RunState.NOT_RUN)):
            return ClaimState.NOT_SENT
        case _:
            return ClaimState.UNKNOWN


def read_key(context: RequestContext) -> Result[str, Refusal]:
    """Return the caller's idempotency key."""
    key = context.request.header("Idempotency-Key")
    if not key:
        message = "this route needs the header Idempotency-Key"
        return Err(not_run(400, "idempotency_key_missing", message))
    if not KEY_PATTERN.fullmatch(key):
        message = (
            f"Idempotency-Key must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters"
        )
        return Err(not_run(400, "malformed_request", message))
    return Ok(key)
