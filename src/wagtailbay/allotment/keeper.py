"""Plan the ledgers on the VM that holds the lease."""

from collections.abc import Callable, Iterator, Mapping
from math import exp, inf
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.allotment.catalogue import group_of
from wagtailbay.allotment.const import (
    APPLIED_KIND,
    CHECK_INTERVAL_S,
    FOLLOW_UP_INTERVAL_S,
    LEDGER_PREFIX,
    PLAN_INTERVAL_S,
    PLAN_SMOOTHING_S,
    SILENT_AFTER_S,
)
from wagtailbay.allotment.demand import known_demand
from wagtailbay.allotment.ledger import Evidence, plan_ledger
from wagtailbay.allotment.models import Holder, Ledger, LedgerApplied, Safeguards
from wagtailbay.allotment.ports import Fleet
from wagtailbay.allotment.reclaim import ReclaimWatch, Sightings
from wagtailbay.allotment.wire import decode_ledger, encode_ledger
from wagtailbay.limits import BudgetLimit
from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable, VmState
from wagtailbay.store import ObjectStore, OutcomeUnknown, StoreError

GRANTABLE = (VmState.LIVE, VmState.LEAVING)


@define
class LedgerKeeper:
    """Read the ledgers, plan and write them by conditional update while this VM holds the lease.

    Nothing is assumed from one round to the next but demand and the times of evidence: each round
    plans from what it reads, so a lost answer, a conflict or a second lease holder needs no
    repair.

    Attributes:
        floor_ppm: Returns one VM's part of the floor.
        pending: Whether the last round left shares that await a confirmation.
    """

    fleet: Fleet
    store: ObjectStore
    facts: FactTable
    limits: Callable[[], Mapping[str, BudgetLimit]]
    floor_ppm: Callable[[], int]
    clock: Callable[[], float]
    safeguards: Safeguards = field(factory=Safeguards)
    reclaim: ReclaimWatch = field(init=False)
    smoothed: dict[str, dict[Holder, float]] = field(factory=dict)
    smoothed_s: float | None = None
    pending: bool = False

    def __attrs_post_init__(self) -> None:
        """Start the watch on ended VMs."""
        self.reclaim = ReclaimWatch(self.safeguards)

    async def run(self) -> None:
        """Plan every 5 s while this VM holds the lease, sooner while a move is under way.

        A new holder plans at once. When a VM has joined or leaves, shares are moved soon, because
        until then a new VM has only its floor and loans.
        """
        planned_s: float | None = None
        planned_for: frozenset[tuple[Holder, VmState]] = frozenset()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = self.clock()
            if not self.fleet.is_holder(now_s):
                planned_s, self.pending = None, False
                continue
            grantable = self._grantable()
            soon = self.pending or grantable != planned_for
            interval_s = FOLLOW_UP_INTERVAL_S if soon else PLAN_INTERVAL_S
            if planned_s is None or now_s - planned_s >= interval_s:
                planned_s, planned_for = now_s, grantable
                await self.round()

    def _grantable(self) -> frozenset[tuple[Holder, VmState]]:
        """Return the VMs that can be given shares, and their states."""
        members = self.fleet.members()
        states = ((Holder(m.identity.vm, m.identity.incarnation), m.state) for m in members)
        return frozenset(pair for pair in states if pair[1] in GRANTABLE)

    async def round(self) -> None:
        """Read the store, then plan and write each group once."""
        listed = await self._listed()
        read = await self.store.list((LEDGER_PREFIX,))
        if isinstance(read, Err):
            log_event("ledgers_unread", reason=read.err_value.message)
            return
        now_s = self.clock()
        stored = {item.key: item for item in read.ok_value.objects if item.value is not None}
        sightings = self._sightings(listed, now_s)
        self._smooth(sightings, now_s)
        self.pending = False
        for group, limits in self._groups(stored).items():
            item = stored.get(LEDGER_PREFIX + group)
            version, value = (item.version, item.value) if item else (0, None)
            await self._plan_group(group, limits, version, value, sightings)

    async def _listed(self) -> frozenset[str] | None:
        answer = await self.store.vms()
        if isinstance(answer, Err):
            return None
        return frozenset(record.vm for record in answer.ok_value.vms)

    def _groups(self, stored: Mapping[str, Any]) -> dict[str, dict[str, BudgetLimit]]:
        groups: dict[str, dict[str, BudgetLimit]] = {
            key.removeprefix(LEDGER_PREFIX): {} for key in stored
        }
        for budget, limit in self.limits().items():
            groups.setdefault(group_of(budget), {})[budget] = limit
        return groups

    async def _plan_group(
        self,
        group: str,
        limits: Mapping[str, BudgetLimit],
        version: int,
        value: Any,
        sightings: Sightings,
    ) -> None:
        ledger = Ledger()
        if value is not None:
            decoded = decode_ledger(value)
            if isinstance(decoded, Err):
                # What the VMs hold is unknown, so nothing can be granted safely.
                log_event("ledger_unusable", group=group, reason=decoded.err_value.message)
                return
            ledger = decoded.ok_value
        now_s = self.clock()
        evidence = self._evidence(group, limits, ledger, version, sightings, now_s)
        planned = plan_ledger(ledger, version, evidence, now_s)
        self.pending |= any(
            grant.held_ppm > grant.granted_ppm and holder not in evidence.gone
            for division in planned.budgets.values()
            for holder, grant in division.items()
        )
        if planned != ledger:
            await self._write(LEDGER_PREFIX + group, encode_ledger(planned), version)

    async def _write(self, key: str, value: Any, version: int) -> None:
        match await self.store.put(key, value, version):
            case Ok(written):
                log_event("ledger_written", key=key, version=written)
            case Err(error):
                await self._read_back(key, value, error)

    async def _read_back(self, key: str, value: Any, error: StoreError) -> None:
        """Log what became of a write that failed; the next round plans from what it reads."""
        reason = getattr(error, "message", "another VM wrote first")
        if not isinstance(error, OutcomeUnknown):
            log_event("ledger_not_written", key=key, reason=reason)
            return
        match await self.store.get(key):
            case Ok(found) if found is not None and found.value == value:
                log_event("ledger_written", key=key, version=found.version)
            case _:
                log_event("ledger_outcome_unknown", key=key, reason=reason)

    def _sightings(self, listed: frozenset[str] | None, now_s: float) -> Sightings:
        members = {member.identity.vm: member for member in self.fleet.members()}
        applied: dict[str, dict[Holder, int]] = {}
        for fact in self.facts.of_kind(APPLIED_KIND, now_s):
            if isinstance(fact.value, LedgerApplied):
                holder = Holder(fact.vm, fact.incarnation)
                applied.setdefault(fact.key, {})[holder] = fact.value.version
        heard_s = {vm: self.fleet.last_heard_s(vm) for vm in members}
        heard_s[self.facts.vm] = now_s
        return Sightings(members, heard_s, listed, applied)

    def _evidence(
        self,
        group: str,
        limits: Mapping[str, BudgetLimit],
        ledger: Ledger,
        version: int,
        sightings: Sightings,
        now_s: float,
    ) -> Evidence:
        holders = {holder for division in ledger.budgets.values() for holder in division}
        silent = {vm for vm in sightings.members if sightings.silent_s(vm, now_s) > SILENT_AFTER_S}
        gone = frozenset(
            holder
            for holder in holders
            if sightings.has_ended(holder) or (sightings.is_absent(holder) and holder.vm in silent)
        )
        present = tuple(sorted(self._present(sightings, silent), key=lambda h: h.vm))
        times = self.reclaim.release_times(group, ledger, version, sightings, now_s)
        return Evidence(
            limits=limits,
            present=present,
            gone=gone,
            demand=self.smoothed,
            applied=sightings.applied.get(group, {}),
            release_at_s=times,
            floor_ppm=self.floor_ppm(),
            safeguards=self.safeguards,
        )

    @staticmethod
    def _present(sightings: Sightings, silent: set[str]) -> Iterator[Holder]:
        for vm, member in sightings.members.items():
            if member.state in GRANTABLE and vm not in silent:
                yield Holder(vm, member.identity.incarnation)

    def _smooth(self, sightings: Sightings, now_s: float) -> None:
        """Blend the newest demand into what plans rest on; VMs not known any more drop out."""
        known = known_demand(self.facts, now_s)
        elapsed_s = inf if self.smoothed_s is None else now_s - self.smoothed_s
        weight, self.smoothed_s = 1.0 - exp(-max(0.0, elapsed_s) / PLAN_SMOOTHING_S), now_s
        smoothed: dict[str, dict[Holder, float]] = {}
        for budget in self.limits():
            before = self.smoothed.get(budget, {})
            for vm, member in sightings.members.items():
                holder = Holder(vm, member.identity.incarnation)
                fact = known.get((vm, holder.incarnation))
                newest = fact.per_s.get(budget, 0.0) if fact else 0.0
                # Callers go from a VM that leaves within the time to live of locate answers, so
                # its former demand says nothing.
                leaving = member.state is VmState.LEAVING
                former = newest if leaving else before.get(holder, newest)
                per_s = former + weight * (newest - former)
                smoothed.setdefault(budget, {})[holder] = per_s
        self.smoothed = smoothed
