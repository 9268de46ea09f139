"""Let each non-idempotent request run at most once in the fleet."""

import uuid
from collections.abc import Callable

import trio
from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.once.calls import HeldMemory, StoreCalls
from wagtailbay.once.const import (
    CLAIM_TIMEOUT_S,
    FIRST_RETRY_S,
    MAX_CLAIM_WRITES,
)
from wagtailbay.once.models import Claim, ClaimRecord, ClaimState, Outcome, Submission
from wagtailbay.once.refusals import (
    busy,
    claim_contended,
    key_reused,
    store_unreachable,
    unknown_outcome,
)
from wagtailbay.once.wire import decode_record, encode_record
from wagtailbay.once.writer import OutcomeWriter
from wagtailbay.refusals import Refusal
from wagtailbay.store import OutcomeUnknown, StoredObject, StoreUnavailable, VersionConflict

ClaimResult = Result[Claim | Outcome, Refusal]


@define
class Running:
    """Hold a submission that this VM works on; ended is set with its outcome, if it has one."""

    digest: str
    ended: trio.Event = field(factory=trio.Event)
    outcome: Outcome | None = None


@define
class ClaimAttempt:
    """Hold the state of one attempt to claim."""

    object_key: str
    record: ClaimRecord
    deadline_s: float
    base_version: int = 0
    may_be_written: bool = False


@define
class OnceGate:
    """Claim idempotency keys in the store before anything is sent, and record what came of it.

    Attributes:
        clock: Boot-time clock of the deadlines.
        unix_time: Wall clock, for the expiry of claims only.
        skip_claim: For tests only; sends without a claim.
        trust_lost_answers: For tests only; takes a lost answer to the claim for a success.
    """

    calls: StoreCalls
    writer: OutcomeWriter
    vm: str
    incarnation: int
    clock: Callable[[], float]
    unix_time: Callable[[], float]
    new_mark: Callable[[], str] = lambda: uuid.uuid4().hex
    memory: HeldMemory = field(factory=HeldMemory)
    running: dict[str, Running] = field(factory=dict)
    skip_claim: bool = False
    trust_lost_answers: bool = False

    async def claim(self, submission: Submission, deadline_s: float) -> ClaimResult:
        """Return the right to send, the recorded outcome, or a refusal.

        A claim must be given back by finish, whatever happens.
        """
        body_bytes = len(submission.body)
        if not self.memory.take(body_bytes):
            return Err(busy())
        try:
            return await self._claim_locally(submission, deadline_s)
        finally:
            self.memory.give_back(body_bytes)

    async def finish(self, claim: Claim, state: ClaimState, outcome: Outcome | None = None) -> None:
        """Record what came of a claim; outcome comes with state ANSWERED only."""
        record = evolve(claim.record, state=state, outcome=outcome)
        try:
            if not self.skip_claim:
                await self.writer.write(claim.object_key, record, claim.version)
        finally:
            self._end(claim.object_key, outcome)

    async def _claim_locally(self, submission: Submission, deadline_s: float) -> ClaimResult:
        """Join a submission with the same key that this VM works on, or claim in the store."""
        key, digest = submission.object_key, submission.digest
        while (run := self.running.get(key)) is not None and not self.skip_claim:
            if run.digest != digest:
                return Err(key_reused())
            with trio.move_on_after(max(0.0, deadline_s - self.clock())):
                await run.ended.wait()
            if run.outcome is not None:
                return Ok(run.outcome)
            if not run.ended.is_set():
                return Err(unknown_outcome())
        pending = self.writer.pending.get(key)
        if pending is not None and pending.record.state is not ClaimState.NOT_SENT:
            return self._known(pending.record, digest)
        self.running[key] = Running(digest)
        result: ClaimResult | None = None
        try:
            result = await self._claim_in_store(key, digest, deadline_s)
            return result
        finally:
            if not (isinstance(result, Ok) and isinstance(result.ok_value, Claim)):
                found = result.ok_value if isinstance(result, Ok) else None
                self._end(key, found)

    def _end(self, object_key: str, outcome: Outcome | None) -> None:
        run = self.running.pop(object_key, None)
        if run is not None:
            run.outcome = outcome
            run.ended.set()

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
                self.writer.release(key, record)

    async def _write_claim(self, attempt: ClaimAttempt) -> ClaimResult:
        """Write the claim, reading the object whenever the answer is not clear."""
        value = encode_record(attempt.record)
        for _ in range(MAX_CLAIM_WRITES):
            was_lost, attempt.may_be_written = attempt.may_be_written, True
            put = await self.calls.run(
                lambda s: s.put(attempt.object_key, value, attempt.base_version)
            )
            match put:
                case Ok(version):
                    return Ok(Claim(attempt.object_key, attempt.record, version))
                case Err(StoreUnavailable()):
                    attempt.may_be_written = was_lost
                    return Err(store_unreachable())
                case Err(OutcomeUnknown()) if self.trust_lost_answers:
                    return Ok(Claim(attempt.object_key, attempt.record, 0))
                case Err(error):
                    lost = isinstance(error, VersionConflict)
                    settled = await self._settle(attempt, lost)
                    if settled is not None:
                        return settled
        return Err(claim_contended())

    async def _settle(self, attempt: ClaimAttempt, conflict: bool) -> ClaimResult | None:
        """Decide by the stored object; None when the claim may be written again."""
        while True:
            read = await self._read(attempt)
            if isinstance(read, Err):
                return Err(unknown_outcome() if conflict else store_unreachable())
            stored = read.ok_value
            if stored is None:
                attempt.base_version = 0
                return None
            if stored.version != attempt.base_version:
                attempt.may_be_written = False  # A put still on its way meets a later version.
            decoded = decode_record(stored.value)
            if isinstance(decoded, Err):
                return Err(unknown_outcome())
            record = decoded.ok_value
            if record.mark == attempt.record.mark and record.state is ClaimState.CLAIMED:
                return Ok(Claim(attempt.object_key, attempt.record, stored.version))
            if record.digest != attempt.record.digest:
                return Err(key_reused())
            if record.state is ClaimState.NOT_SENT:
                attempt.base_version = stored.version
                return None
            if record.state is not ClaimState.CLAIMED:
                return self._known(record, attempt.record.digest)
            left_s = attempt.deadline_s - self.clock()
            if left_s <= 0:
                return Err(unknown_outcome())
            await self.calls.wait_for_change(attempt.object_key, stored.version, left_s)

    async def _read(self, attempt: ClaimAttempt) -> Result[StoredObject | None, StoreUnavailable]:
        """Read the object, repeating failed reads for a short time within the deadline."""
        until_s = min(attempt.deadline_s, self.clock() + CLAIM_TIMEOUT_S)
        wait_s = FIRST_RETRY_S
        while True:
            read = await self.calls.run(lambda s: s.get(attempt.object_key))
            if isinstance(read, Ok) or self.clock() + wait_s >= until_s:
                return read
            await trio.sleep(wait_s)
            wait_s *= 2

    @staticmethod
    def _known(record: ClaimRecord, digest: str) -> ClaimResult:
        if record.digest != digest:
            return Err(key_reused())
        return Ok(record.outcome) if record.outcome is not None else Err(unknown_outcome())
