"""Claim idempotency keys so that each non-idempotent request runs at most once in the fleet."""

import uuid
from collections.abc import Callable

import trio
from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.once.const import (
    CLAIM_READ_TIMEOUT_S,
    INITIAL_RETRY_DELAY_S,
    MAX_CLAIM_WRITE_ATTEMPTS,
)
from wagtailbay.once.limiters import RequestBufferLimiter, StoreCallLimiter
from wagtailbay.once.models import Claim, ClaimRecord, ClaimState, Outcome, Submission
from wagtailbay.once.refusals import (
    claim_contended,
    claim_unavailable,
    idempotency_key_reused,
    too_many_waiting,
    unknown_outcome,
)
from wagtailbay.once.wire import decode_claim, encode_claim
from wagtailbay.once.writer import OutcomeWriter
from wagtailbay.refusals import Refusal
from wagtailbay.store import OutcomeUnknown, StoredObject, StoreUnavailable, VersionConflict

ClaimResult = Result[Claim | Outcome, Refusal]


@define
class InFlightSubmission:
    """A submission that is in progress on this VM.

    Attributes:
        finished: Set when the submission has ended.
        outcome: The recorded outcome, or None if there is none.
    """

    digest: str
    finished: trio.Event = field(factory=trio.Event)
    outcome: Outcome | None = None


@define
class ClaimAttempt:
    """State of one attempt to claim a key.

    Attributes:
        base_version: Object version that the next write replaces; 0 if there is no object.
        may_be_written: Whether a put has taken effect or may still do so.
    """

    object_key: str
    record: ClaimRecord
    deadline_s: float
    base_version: int = 0
    may_be_written: bool = False


@define
class IdempotencyManager:
    """Claims idempotency keys in the store before requests are sent and records their outcomes.

    Attributes:
        clock: Boot-time clock used for deadlines.
        unix_time: Wall clock, used only for the expiry of claims.
        skip_claim: Test-only switch; True sends requests without a claim.
        trust_lost_answers: Test-only switch; True treats a claim whose response was lost as
            successful.
    """

    store_calls: StoreCallLimiter
    writer: OutcomeWriter
    vm: str
    incarnation: int
    clock: Callable[[], float]
    unix_time: Callable[[], float]
    new_mark: Callable[[], str] = lambda: uuid.uuid4().hex
    buffer_limiter: RequestBufferLimiter = field(factory=RequestBufferLimiter)
    in_flight: dict[str, InFlightSubmission] = field(factory=dict)
    skip_claim: bool = False
    trust_lost_answers: bool = False

    async def claim(self, submission: Submission, deadline_s: float) -> ClaimResult:
        """Return a claim that permits sending, the recorded outcome, or a refusal.

        The caller must pass every returned claim to finish, even after an error.
        """
        body_bytes = len(submission.body)
        if not self.buffer_limiter.try_acquire(body_bytes):
            return Err(too_many_waiting())
        try:
            return await self._join_or_claim(submission, deadline_s)
        finally:
            self.buffer_limiter.release(body_bytes)

    async def finish(self, claim: Claim, state: ClaimState, outcome: Outcome | None = None) -> None:
        """Record the final state of a claim; only state ANSWERED has an outcome."""
        record = evolve(claim.record, state=state, outcome=outcome)
        try:
            if not self.skip_claim:
                await self.writer.write(claim.object_key, record, claim.version)
        finally:
            self._complete(claim.object_key, outcome)

    async def _join_or_claim(self, submission: Submission, deadline_s: float) -> ClaimResult:
        """Join an in-progress submission of the same key on this VM, or claim the key."""
        key, digest = submission.object_key, submission.digest
        while (existing := self.in_flight.get(key)) is not None and not self.skip_claim:
            if existing.digest != digest:
                return Err(idempotency_key_reused())
            with trio.move_on_after(max(0.0, deadline_s - self.clock())):
                await existing.finished.wait()
            if existing.outcome is not None:
                return Ok(existing.outcome)
            if not existing.finished.is_set():
                return Err(unknown_outcome())
        pending_write = self.writer.pending.get(key)
        if pending_write is not None and pending_write.record.state is not ClaimState.NOT_SENT:
            return self._recorded_result(pending_write.record, digest)
        self.in_flight[key] = InFlightSubmission(digest)
        result: ClaimResult | None = None
        try:
            result = await self._claim_in_store(key, digest, deadline_s)
            return result
        finally:
            if not (isinstance(result, Ok) and isinstance(result.ok_value, Claim)):
                recorded_outcome = result.ok_value if isinstance(result, Ok) else None
                self._complete(key, recorded_outcome)

    def _complete(self, object_key: str, outcome: Outcome | None) -> None:
        submission = self.in_flight.pop(object_key, None)
        if submission is not None:
            submission.outcome = outcome
            submission.finished.set()

    async def _claim_in_store(self, key: str, digest: str, deadline_s: float) -> ClaimResult:
        mark = self.new_mark()
        record = ClaimRecord(digest, self.vm, self.incarnation, mark, self.unix_time())
        if self.skip_claim:
            return Ok(Claim(key, record, 0))
        attempt = ClaimAttempt(key, record, deadline_s)
        claimed = False
        try:
            result = await self._write_claim(attempt)
            claimed = isinstance(result, Ok) and isinstance(result.ok_value, Claim)
            return result
        finally:
            if attempt.may_be_written and not claimed:
                self.writer.enqueue_release(key, record)

    async def _write_claim(self, attempt: ClaimAttempt) -> ClaimResult:
        """Write the claim; after a conflict or an unknown result, read the stored object."""
        value = encode_claim(attempt.record)
        for _ in range(MAX_CLAIM_WRITE_ATTEMPTS):
            was_uncertain, attempt.may_be_written = attempt.may_be_written, True
            put = await self.store_calls.run(
                lambda s: s.put(attempt.object_key, value, attempt.base_version)
            )
            match put:
                case Ok(version):
                    return Ok(Claim(attempt.object_key, attempt.record, version))
                case Err(StoreUnavailable()):
                    attempt.may_be_written = was_uncertain
                    return Err(claim_unavailable())
                case Err(OutcomeUnknown()) if self.trust_lost_answers:
                    return Ok(Claim(attempt.object_key, attempt.record, 0))
                case Err(error):
                    conflict = isinstance(error, VersionConflict)
                    resolved = await self._resolve_write(attempt, conflict)
                    if resolved is not None:
                        return resolved
        return Err(claim_contended())

    async def _resolve_write(self, attempt: ClaimAttempt, conflict: bool) -> ClaimResult | None:
        """Resolve an unsuccessful write from the stored object; None means to retry the write."""
        while True:
            read = await self._read_claim(attempt)
            if isinstance(read, Err):
                return Err(unknown_outcome() if conflict else claim_unavailable())
            stored = read.ok_value
            if stored is None:
                attempt.base_version = 0
                return None
            if stored.version != attempt.base_version:
                attempt.may_be_written = False  # A delayed put would now conflict.
            decoded = decode_claim(stored.value)
            if isinstance(decoded, Err):
                return Err(unknown_outcome())
            record = decoded.ok_value
            if record.mark == attempt.record.mark and record.state is ClaimState.CLAIMED:
                return Ok(Claim(attempt.object_key, attempt.record, stored.version))
            if record.digest != attempt.record.digest:
                return Err(idempotency_key_reused())
            if record.state is ClaimState.NOT_SENT:
                attempt.base_version = stored.version
                return None
            if record.state is not ClaimState.CLAIMED:
                return self._recorded_result(record, attempt.record.digest)
            remaining_s = attempt.deadline_s - self.clock()
            if remaining_s <= 0:
                return Err(unknown_outcome())
            await self.store_calls.wait_for_change(attempt.object_key, stored.version, remaining_s)

    async def _read_claim(
        self, attempt: ClaimAttempt
    ) -> Result[StoredObject | None, StoreUnavailable]:
        """Read the claim, retrying failed reads with exponential backoff for a limited time."""
        retry_deadline_s = min(attempt.deadline_s, self.clock() + CLAIM_READ_TIMEOUT_S)
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            read = await self.store_calls.run(lambda s: s.get(attempt.object_key))
            if isinstance(read, Ok) or self.clock() + delay_s >= retry_deadline_s:
                return read
            await trio.sleep(delay_s)
            delay_s *= 2

    @staticmethod
    def _recorded_result(record: ClaimRecord, digest: str) -> ClaimResult:
        if record.digest != digest:
            return Err(idempotency_key_reused())
        return Ok(record.outcome) if record.outcome is not None else Err(unknown_outcome())
