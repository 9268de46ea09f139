"""Plan and write the ledgers on the VM that holds the lease."""

from collections.abc import Callable, Iterator, Mapping
from math import exp, inf
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.allotment.budgets import ledger_group
from wagtailbay.allotment.const import (
    APPLIED_KIND,
    CONTACT_TIMEOUT_S,
    FOLLOW_UP_INTERVAL_S,
    LEASE_CHECK_INTERVAL_S,
    LEDGER_PREFIX,
    PLAN_INTERVAL_S,
    PLAN_SMOOTHING_S,
)
from wagtailbay.allotment.demand import current_demand
from wagtailbay.allotment.ledger import PlanInputs, plan_ledger
from wagtailbay.allotment.models import Ledger, LedgerApplied, Safeguards, VmIncarnation
from wagtailbay.allotment.ports import FleetState
from wagtailbay.allotment.reclaim import FleetSnapshot, ReclaimTracker
from wagtailbay.allotment.wire import decode_ledger, encode_ledger
from wagtailbay.limits import BudgetLimit
from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable, VmState
from wagtailbay.store import ObjectStore, OutcomeUnknown, StoreError

GRANTABLE_STATES = (VmState.LIVE, VmState.LEAVING)


@define
class LedgerCoordinator:
    """Plans the ledgers and writes them by conditional update while this VM holds the lease.

    Each round plans from the ledgers that it reads; only smoothed demand and reclaim timers carry
    over. A lost response, a write conflict or a second lease holder thus needs no recovery.

    Attributes:
        floor_ppm: Returns the floor of one VM.
        has_pending_decreases: Whether the last round left decreases that await confirmation.
    """

    fleet: FleetState
    store: ObjectStore
    facts: FactTable
    limits: Callable[[], Mapping[str, BudgetLimit]]
    floor_ppm: Callable[[], int]
    clock: Callable[[], float]
    safeguards: Safeguards = field(factory=Safeguards)
    reclaim: ReclaimTracker = field(init=False)
    smoothed_demand: dict[str, dict[VmIncarnation, float]] = field(factory=dict)
    smoothed_at_s: float | None = None
    has_pending_decreases: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the tracker of reclaimable shares."""
        self.reclaim = ReclaimTracker(self.safeguards)

    async def run(self) -> None:
        """Plan every 5 s while this VM holds the lease, sooner while decreases are pending.

        A new lease holder plans at its first check. Plans also follow sooner after a VM joins or
        starts to leave, because a new VM has only its floor and loans until then.
        """
        planned_s: float | None = None
        planned_vms: frozenset[tuple[VmIncarnation, VmState]] = frozenset()
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            now_s = self.clock()
            if not self.fleet.is_holder(now_s):
                planned_s, self.has_pending_decreases = None, False
                continue
            grantable_vms = self._grantable_vms()
            is_urgent = self.has_pending_decreases or grantable_vms != planned_vms
            interval_s = FOLLOW_UP_INTERVAL_S if is_urgent else PLAN_INTERVAL_S
            if planned_s is None or now_s - planned_s >= interval_s:
                planned_s, planned_vms = now_s, grantable_vms
                await self.reconcile()

    def _grantable_vms(self) -> frozenset[tuple[VmIncarnation, VmState]]:
        """Return the VMs that can be granted shares, with their states."""
        members = self.fleet.members()
        states = ((VmIncarnation(m.identity.vm, m.identity.incarnation), m.state) for m in members)
        return frozenset(pair for pair in states if pair[1] in GRANTABLE_STATES)

    async def reconcile(self) -> None:
        """Read the ledgers from the store, then plan and write each group once."""
        listed_vms = await self._read_listed_vms()
        listing = await self.store.list((LEDGER_PREFIX,))
        if isinstance(listing, Err):
            log_event("ledgers_unread", reason=listing.err_value.message)
            return
        now_s = self.clock()
        stored = {item.key: item for item in listing.ok_value.objects if item.value is not None}
        snapshot = self._fleet_snapshot(listed_vms, now_s)
        self._smooth_demand(snapshot, now_s)
        self.has_pending_decreases = False
        for group, limits in self._limits_by_group(stored).items():
            item = stored.get(LEDGER_PREFIX + group)
            version, value = (item.version, item.value) if item else (0, None)
            await self._plan_group(group, limits, version, value, snapshot)

    async def _read_listed_vms(self) -> frozenset[str] | None:
        """Return the VMs on the platform's list, None if it cannot be read or is not plausible."""
        response = await self.store.vms()
        if isinstance(response, Err):
            return None
        # This VM runs and is registered. A list without any live VM would release their shares
        # while they are in use.
        listed_vms = frozenset(record.vm for record in response.ok_value.vms)
        return listed_vms or None

    def _limits_by_group(self, stored: Mapping[str, Any]) -> dict[str, dict[str, BudgetLimit]]:
        groups: dict[str, dict[str, BudgetLimit]] = {
            key.removeprefix(LEDGER_PREFIX): {} for key in stored
        }
        for budget, limit in self.limits().items():
            groups.setdefault(ledger_group(budget), {})[budget] = limit
        return groups

    async def _plan_group(
        self,
        group: str,
        limits: Mapping[str, BudgetLimit],
        version: int,
        value: Any,
        snapshot: FleetSnapshot,
    ) -> None:
        ledger = Ledger()
        if value is not None:
            decoded = decode_ledger(value)
            if isinstance(decoded, Err):
                # The shares in use are unknown, so nothing can be granted safely.
                log_event("ledger_unusable", group=group, reason=decoded.err_value.message)
                return
            ledger = decoded.ok_value
        now_s = self.clock()
        inputs = self._plan_inputs(group, limits, ledger, version, snapshot, now_s)
        planned = plan_ledger(ledger, version, inputs, now_s)
        self.has_pending_decreases |= any(
            grant.held_ppm > grant.granted_ppm and holder not in inputs.removed_vms
            for grants in planned.budgets.values()
            for holder, grant in grants.items()
        )
        if planned != ledger:
            await self._write(LEDGER_PREFIX + group, encode_ledger(planned), version)

    async def _write(self, key: str, value: Any, version: int) -> None:
        match await self.store.put(key, value, version):
            case Ok(written):
                log_event("ledger_written", key=key, version=written)
            case Err(error):
                await self._verify_write(key, value, error)

    async def _verify_write(self, key: str, value: Any, error: StoreError) -> None:
        """Log the outcome of a failed write, read back if unknown; the next round replans."""
        reason = getattr(error, "message", "another VM wrote first")
        if not isinstance(error, OutcomeUnknown):
            log_event("ledger_not_written", key=key, reason=reason)
            return
        match await self.store.get(key):
            case Ok(found) if found is not None and found.value == value:
                log_event("ledger_written", key=key, version=found.version)
            case _:
                log_event("ledger_outcome_unknown", key=key, reason=reason)

    def _fleet_snapshot(self, listed_vms: frozenset[str] | None, now_s: float) -> FleetSnapshot:
        members = {member.identity.vm: member for member in self.fleet.members()}
        applied_versions: dict[str, dict[VmIncarnation, int]] = {}
        for fact in self.facts.of_kind(APPLIED_KIND, now_s):
            if isinstance(fact.value, LedgerApplied):
                holder = VmIncarnation(fact.vm, fact.incarnation)
                applied_versions.setdefault(fact.key, {})[holder] = fact.value.version
        last_contact_s = {vm: self.fleet.last_heard_s(vm) for vm in members}
        last_contact_s[self.facts.vm] = now_s
        return FleetSnapshot(members, last_contact_s, listed_vms, applied_versions)

    def _plan_inputs(
        self,
        group: str,
        limits: Mapping[str, BudgetLimit],
        ledger: Ledger,
        version: int,
        snapshot: FleetSnapshot,
        now_s: float,
    ) -> PlanInputs:
        holders = {holder for grants in ledger.budgets.values() for holder in grants}
        unresponsive = {
            vm for vm in snapshot.members if snapshot.contact_age_s(vm, now_s) > CONTACT_TIMEOUT_S
        }
        removed_vms = frozenset(
            holder
            for holder in holders
            if snapshot.has_ended(holder)
            or (snapshot.is_unlisted(holder) and holder.vm in unresponsive)
        )
        active_vms = tuple(sorted(self._active_vms(snapshot, unresponsive), key=lambda h: h.vm))
        release_times = self.reclaim.release_times(group, ledger, version, snapshot, now_s)
        return PlanInputs(
            limits=limits,
            active_vms=active_vms,
            removed_vms=removed_vms,
            demand=self.smoothed_demand,
            applied_versions=snapshot.applied_versions.get(group, {}),
            release_at_s=release_times,
            floor_ppm=self.floor_ppm(),
            safeguards=self.safeguards,
        )

    @staticmethod
    def _active_vms(snapshot: FleetSnapshot, unresponsive: set[str]) -> Iterator[VmIncarnation]:
        for vm, member in snapshot.members.items():
            if member.state in GRANTABLE_STATES and vm not in unresponsive:
                yield VmIncarnation(vm, member.identity.incarnation)

    def _smooth_demand(self, snapshot: FleetSnapshot, now_s: float) -> None:
        """Update the smoothed demand that plans use and drop VMs that are no longer known."""
        published = current_demand(self.facts, now_s)
        elapsed_s = inf if self.smoothed_at_s is None else now_s - self.smoothed_at_s
        weight, self.smoothed_at_s = 1.0 - exp(-max(0.0, elapsed_s) / PLAN_SMOOTHING_S), now_s
        smoothed_demand: dict[str, dict[VmIncarnation, float]] = {}
        for budget in self.limits():
            previous = self.smoothed_demand.get(budget, {})
            for vm, member in snapshot.members.items():
                holder = VmIncarnation(vm, member.identity.incarnation)
                fact = published.get((vm, holder.incarnation))
                newest_per_s = fact.per_s.get(budget, 0.0) if fact else 0.0
                # Callers abandon a leaving VM within the TTL of locate answers, so its previous
                # demand is not smoothed in.
                leaving = member.state is VmState.LEAVING
                previous_per_s = newest_per_s if leaving else previous.get(holder, newest_per_s)
                per_s = previous_per_s + weight * (newest_per_s - previous_per_s)
                smoothed_demand.setdefault(budget, {})[holder] = per_s
        self.smoothed_demand = smoothed_demand
