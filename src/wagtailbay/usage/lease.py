"""Lease on the duty to report usage, and the stored reports that go with it."""

import uuid
from collections.abc import Callable

import trio
from attrs import define, evolve
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.replica import from_value, to_value
from wagtailbay.store import (
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StorePosition,
    StoreUnavailable,
    VersionConflict,
)
from wagtailbay.usage.const import (
    CANDIDATE_DELAY_S,
    CANDIDATE_STAGGER_S,
    DUTY_KEY,
    LEASE_TICK_S,
    MAX_CANDIDATES,
    MAX_TOKEN_LEAD_MS,
    READ_RETRY_S,
    SILENCE_FRACTION,
    USAGE_LEASE_KIND,
    WRITE_RETRY_S,
)
from wagtailbay.usage.models import DutyRecord, HeldLease, UsageSettings
from wagtailbay.usage.ports import DutyPlanner


@define
class UsageLease:
    """Holds, renews or takes over the duty; the holder's record carries the decided reports.

    Each write is conditional on the version before it, so a VM that was replaced cannot decide a
    report. A holder may send only for ``lease_s`` from before its last confirmed write was sent,
    less the call timeout and the margin for freezes. A successor writes only after it has known one
    version of the record for ``lease_s`` and the margin. The holder tells the version of each write
    to its neighbours as a fact, so that candidates read the store only when the facts stop.

    Attributes:
        rank: Returns this VM's rank among the candidates without the given one, the last holder;
            None if this VM may not hold the duty.
        unix_s: Returns true time at a time of the steady clock.
        record: This VM's last confirmed record as the holder; None if it is not the holder.
        version: Version of the record in the store.
        written_s: When the last confirmed write was sent.
        known_token: Highest token that this VM has heard of.
        heard_version: Newest version that the holder has announced.
        heard_s: When that version was first heard of.
        heard_vm: The VM that announced it.
        observed: Record that was read from the store; ``has_read`` tells None from not read.
        observed_s: Since when the record is known to have this version.
        eligible_s: Since when this VM is a candidate.
    """

    vm: str
    run_id: str
    settings: UsageSettings
    store: ObjectStore
    facts: FactTable
    planner: DutyPlanner
    rank: Callable[[str], int | None]
    clock: Callable[[], float]
    unix_s: Callable[[float], float]
    new_mark: Callable[[], str] = lambda: uuid.uuid4().hex
    on_change: Callable[[bool], None] = lambda is_holder: None
    record: DutyRecord | None = None
    version: int = 0
    written_s: float = float("-inf")
    renew_at_s: float = 0.0
    known_token: int = 0
    heard_version: int = 0
    heard_s: float = float("-inf")
    heard_vm: str = ""
    has_read: bool = False
    observed: StoredObject | None = None
    observed_s: float = 0.0
    read_at_s: float = 0.0
    eligible_s: float | None = None

    def may_send(self, now_s: float) -> bool:
        """Return whether a call that starts now ends while the lease certainly holds."""
        end_s = now_s + self.settings.call_timeout_s + self.settings.thaw_slack_s
        return self.record is not None and end_s <= self.written_s + self.settings.lease_s

    def yield_duty(self, reason: str) -> None:
        """Stop acting as the holder; the record remains for the successor."""
        if self.record is not None:
            log_event("usage_lease_lost", token=self.record.token, reason=reason)
            self.on_change(False)
        self.record, self.written_s = None, float("-inf")
        self.has_read, self.observed = False, None

    async def run(self) -> None:
        """Renew the lease or try to take it over until cancelled."""
        while True:
            await self.tick(self.clock())
            await trio.sleep(LEASE_TICK_S)

    async def tick(self, now_s: float) -> None:
        """Renew the lease if it is due, or take it over if that is allowed."""
        self._hear(now_s)
        rank = self.rank(self.heard_vm)
        if self.record is not None:
            if rank is None:
                self.yield_duty("this VM is leaving")
            elif now_s >= self.renew_at_s:
                await self._renew(now_s)
            return
        if rank is None or rank >= MAX_CANDIDATES:
            self.eligible_s, self.has_read = None, False
            return
        if self.eligible_s is None:
            self.eligible_s = now_s
        await self._contend(rank, now_s)

    def _hear(self, now_s: float) -> None:
        """Take note of what the holder announces."""
        for fact in self.facts.of_kind(USAGE_LEASE_KIND, now_s):
            held: HeldLease = fact.value
            if held.token <= self.unix_s(now_s) * 1000 + MAX_TOKEN_LEAD_MS:
                self.known_token = max(self.known_token, held.token)
            if fact.vm != self.vm and held.version > self.heard_version:
                self.heard_version, self.heard_s = held.version, now_s
                self.heard_vm = fact.vm
                self.has_read = False

    async def _contend(self, rank: int, now_s: float) -> None:
        """Read the record once the holder is silent, and take over if it remains unchanged."""
        settings = self.settings
        is_silent = now_s - self.heard_s >= SILENCE_FRACTION * settings.lease_s
        if not is_silent or now_s < self.eligible_s + CANDIDATE_DELAY_S:
            return
        if not self.has_read:
            # Candidates after the first read only if those before them have not taken over.
            wait_s = rank * CANDIDATE_STAGGER_S
            starts_s = max(self.heard_s, self.eligible_s + CANDIDATE_DELAY_S) + wait_s
            if now_s >= max(starts_s, self.read_at_s):
                await self._read()
            return
        needed_s = settings.lease_s + settings.thaw_slack_s + rank * CANDIDATE_STAGGER_S
        if now_s >= self.observed_s + needed_s:
            await self._acquire(now_s)

    async def _read(self) -> None:
        match await self.store.get(DUTY_KEY):
            case Err(error):
                self.read_at_s = self.clock() + READ_RETRY_S
                log_event("usage_record_not_read", reason=error.message[:200])
            case Ok(stored):
                self._observe(stored)

    def _observe(self, stored: StoredObject | None) -> None:
        """Remember a record that another VM wrote, and since when it is known to be current."""
        self.has_read, self.observed, self.observed_s = True, stored, self.clock()
        if stored is not None and stored.version == self.heard_version:
            self.observed_s = self.heard_s

    async def _acquire(self, now_s: float) -> None:
        """Take the duty over with a higher token.

        The token also follows true time, so that it rises if the store has lost the last record. In
        that case nobody knows which windows were reported; the ended ones are not reported again.
        """
        stored, found = self.observed, None
        if stored is not None and stored.value is not None:
            found = _parse_record(stored)
        version = 0 if stored is None else stored.version
        token = max(self.known_token, found.token if found else 0) + 1
        token = max(token, round(self.unix_s(now_s) * 1000))
        era = StorePosition.era_of(version)
        floor, windows = self.planner.first_floor(now_s), {}
        if found is not None and found.era == era:
            floor, windows = found.floor, found.windows
        record = DutyRecord(self.vm, self.run_id, token, self.new_mark(), era, floor, windows)
        self.has_read = False
        self.read_at_s = now_s + READ_RETRY_S
        if await self._write(record, version):
            log_event("usage_lease_taken", token=token, windows=len(windows), floor=floor)
            self.on_change(True)

    async def _renew(self, now_s: float) -> None:
        planned = self.planner.plan(self.record, now_s)
        era = StorePosition.era_of(self.version)
        self.renew_at_s = now_s + self.settings.renew_interval_s
        await self._write(evolve(planned, mark=self.new_mark(), era=era), self.version)

    async def _write(self, record: DutyRecord, expected_version: int) -> bool:
        """Write a record; return whether it is certainly stored and this VM holds the duty.

        If the duty was yielded meanwhile, this VM is a candidate like the others.
        """
        sent_s, value, was_holder = self.clock(), _encode_record(record), self.record is not None
        written = await self.store.put(DUTY_KEY, value, expected_version)
        has_yielded = was_holder and self.record is None
        match written:
            case Ok(version) if has_yielded:
                self._observe(StoredObject(DUTY_KEY, version, value))
                return False
            case Err(_) if has_yielded:
                return False
            case Ok(version):
                self._confirm(record, version, sent_s)
                return True
            case Err(StoreUnavailable() as error):
                self.renew_at_s = self.clock() + WRITE_RETRY_S
                log_event("usage_record_not_written", reason=error.message[:200])
                return False
            case Err(VersionConflict() | OutcomeUnknown()):
                return await self._resolve(record, expected_version, sent_s)

    def _confirm(self, record: DutyRecord, version: int, sent_s: float) -> None:
        """Act on a record that is certainly stored."""
        now_s = self.clock()
        self.record, self.version, self.written_s = record, version, sent_s
        self.renew_at_s = sent_s + self.settings.renew_interval_s
        self.known_token = max(self.known_token, record.token)
        held = HeldLease(record.token, version)
        ttl_ms = round(4 * self.settings.lease_ms)
        self.facts.publish(USAGE_LEASE_KIND, "", held, ttl_ms=ttl_ms, now_s=now_s)

    async def _resolve(self, record: DutyRecord, expected_version: int, sent_s: float) -> bool:
        """Read the record after a write whose outcome is unknown or that met another version.

        A write that took effect counts from when it was sent: a successor may count from the moment
        at which it took effect, which may have been long before the read is answered. A write that
        took effect after a return of the store may have replaced the record of another VM, since
        the store gives revisions out again. It then counts only while the lease holds.
        """
        was_holder = self.record is not None
        match await self.store.get(DUTY_KEY):
            case Err(_):
                # Unless an earlier record is confirmed, nothing was sent and nothing is held.
                self.renew_at_s = self.clock() + WRITE_RETRY_S
                return False
            case Ok(stored):
                found = _parse_record(stored) if stored is not None else None
        if was_holder and self.record is None:
            self._observe(stored)
            return False
        continues = stored is not None and self._continues(stored.version, expected_version)
        if found is not None and found == record and continues:
            self._confirm(record, stored.version, sent_s)
            return True
        if self.record is not None and self._is_own(found) and continues:
            self._adopt(found, stored.version)
            return False
        self.yield_duty("another VM has taken over" if found else "the record is gone")
        self._observe(stored)
        return False

    def _is_own(self, found: DutyRecord | None) -> bool:
        own = (self.vm, self.run_id, self.record.token)
        return found is not None and (found.vm, found.run, found.token) == own

    def _continues(self, version: int, expected_version: int) -> bool:
        """Return whether no other VM can have held the duty since the expected version.

        In the same era, no version of the record is skipped. After a return of the store, a
        successor needs the whole lease time, so this holds while the lease does.
        """
        if not StorePosition.is_in_later_era(version, expected_version):
            return True
        return self.clock() < self.written_s + self.settings.lease_s

    def _adopt(self, found: DutyRecord, version: int) -> None:
        """Continue from this VM's own record, without extending the lease.

        An older copy lacks reports that this VM stored and may have sent, so its own record stays
        and is written again. In the same era, the found record is that of an earlier write whose
        outcome was unknown, and holds at least what is known here.
        """
        if not StorePosition.is_in_later_era(version, self.version):
            self.record = found
        else:
            log_event("usage_record_restored", token=found.token, floor=found.floor)
        self.version, self.renew_at_s = version, self.clock()


def _encode_record(record: DutyRecord) -> dict:
    value = to_value(record)
    value["windows"] = {str(window): counts for window, counts in record.windows.items()}
    return value


def _parse_record(stored: StoredObject) -> DutyRecord | None:
    """Return the record of a stored object; log it and return None if it is malformed."""
    if stored.value is None:
        return None
    match from_value(stored.value, DutyRecord):
        case Ok(record):
            return record
        case Err(reason):
            log_event("usage_record_unusable", reason=reason)
            return None
