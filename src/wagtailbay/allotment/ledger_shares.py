"""Hold this VM's usable shares of all budgets."""

from collections.abc import Callable, Mapping

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.budgets import ledger_group
from wagtailbay.allotment.const import (
    APPLIED_KIND,
    APPLIED_REFRESH_S,
    APPLIED_TTL_MS,
    FLOOR_RESERVE_PPM,
    LEDGER_PREFIX,
    LOOP_STALL_TIMEOUT_S,
)
from wagtailbay.allotment.demand import DemandTracker
from wagtailbay.allotment.models import (
    Ledger,
    LedgerApplied,
    LedgerError,
    Safeguards,
    VmIncarnation,
)
from wagtailbay.allotment.ports import FleetState
from wagtailbay.allotment.wire import decode_ledger
from wagtailbay.limits import BudgetLimit
from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.replica import Replica


@define
class AppliedLedger:
    """Hold a ledger that this VM applied.

    Attributes:
        confirmed_s: When its version was last published as kept to, None if not yet.
    """

    version: int
    ledger: Ledger
    confirmed_s: float | None = None


@define
class LedgerShares:
    """Apply ledgers, floor and isolation to this VM's accounts.

    Attributes:
        limits: Returns the limit of every budget in the documents.
        max_vms: Returns the most VMs ever alive at once, None while it is unknown.
        on_short: Called when an account runs low; tells whether a loan may come.
        on_spent: Called when an account has spent the tokens of its loans.
        ticked_s: When this VM's own loop last ran.
    """

    own: VmIncarnation
    fleet: FleetState
    replica: Replica
    facts: FactTable
    limits: Callable[[], Mapping[str, BudgetLimit]]
    max_vms: Callable[[], int | None]
    started_s: float
    safeguards: Safeguards = field(factory=Safeguards)
    on_low_tokens: Callable[[str, float, float], bool] = lambda budget, wanted, now_s: False
    on_loans_spent: Callable[[str, float], None] = lambda budget, now_s: None
    accounts: dict[str, Account] = field(factory=dict)
    ledgers: dict[str, AppliedLedger] = field(factory=dict)
    rejected_versions: dict[str, int] = field(factory=dict)
    demand: DemandTracker = field(init=False)
    last_tick_s: float = field(init=False)
    _applied_limits: dict[str, BudgetLimit] = field(factory=dict)
    _applied_revision: int = -1

    def __attrs_post_init__(self) -> None:
        """Start the meters and the watch on the own loop."""
        self.demand = DemandTracker(self.facts)
        self.last_tick_s = self.started_s

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Record that an amount was asked for, whether it was admitted or not."""
        self.demand.record(budget, amount, now_s)

    def account(self, budget: str, limit: BudgetLimit, now_s: float) -> Account:
        """Return this VM's account of a budget, with the limit that is in force now."""
        account = self.accounts.get(budget)
        if account is not None:
            account.set_limit(limit, now_s)
            return account
        account = Account(
            budget,
            limit,
            self.started_s,
            self.floor_ppm(),
            is_floor_only=self.is_floor_only,
            sync_ledgers=self.sync_ledgers,
            on_low_tokens=lambda name, wanted, at_s: self.on_low_tokens(name, wanted, at_s),
            on_loans_spent=lambda name, at_s: self.on_loans_spent(name, at_s),
            refill_margin=self.safeguards.refill_margin,
        )
        self.accounts[budget] = account
        account.set_share(self._granted_ppm(budget), self.floor_ppm(), now_s)
        return account

    def floor_ppm(self) -> int:
        """Return one VM's part of the floor reserve."""
        max_vms = self.max_vms()
        if not max_vms:
            return 0
        return (
            FLOOR_RESERVE_PPM // max_vms
            if self.safeguards.divide_floor_reserve
            else FLOOR_RESERVE_PPM
        )

    def is_floor_only(self, now_s: float) -> bool:
        """Tell whether only the floor may be used."""
        if not self.safeguards.restrict_isolated:
            return False
        return now_s - self.last_tick_s > LOOP_STALL_TIMEOUT_S or self.fleet.is_isolated(now_s)

    def sync_ledgers(self, now_s: float) -> None:
        """Apply what the replica holds before tokens are used.

        An exchange that ends the isolation may have brought a decrease that no task has handled
        yet.
        """
        if self.replica.revision != self._applied_revision:
            self.apply_replica_ledgers(now_s)

    def apply_replica_ledgers(self, now_s: float) -> None:
        """Apply every ledger that the replica holds in a higher version."""
        self._applied_revision = self.replica.revision
        for key, stored in self.replica.with_prefix(LEDGER_PREFIX).items():
            if self.rejected_versions.get(key) == stored.version:
                continue
            match self.apply_ledger(key, stored.version, stored.value, now_s):
                case Err(error):
                    self.rejected_versions[key] = stored.version
                    log_event(
                        "ledger_refused", key=key, version=stored.version, reason=error.message
                    )

    def apply_ledger(
        self, key: str, version: int, value: object, now_s: float
    ) -> Result[bool, LedgerError]:
        """Apply a ledger object; False if it is not newer. A faulty one changes nothing."""
        group = key.removeprefix(LEDGER_PREFIX)
        current = self.ledgers.get(group)
        if current is not None and current.version >= version:
            return Ok(False)
        decoded = decode_ledger(value)
        if isinstance(decoded, Err):
            return decoded
        self.ledgers[group] = AppliedLedger(version, decoded.ok_value)
        self._set_shares(now_s)
        self._publish_applied(now_s)
        return Ok(True)

    def tick(self, now_s: float) -> None:
        """Keep accounts, limits and facts current; must run at least every few seconds."""
        self.sync_ledgers(now_s)
        limits = self.limits()
        for budget, limit in limits.items():
            # A user of the account may have set a lower limit since, such as one for lost slots.
            if budget not in self.accounts or limit != self._applied_limits.get(budget):
                self.account(budget, limit, now_s)
        self._applied_limits = dict(limits)
        for budget, account in tuple(self.accounts.items()):
            if budget not in limits and not account.lent and not account.borrowed:
                del self.accounts[budget]
        self._set_shares(now_s)
        self.last_tick_s = now_s
        self.demand.publish(now_s)
        self._publish_applied(now_s)

    def other_vm_shares(self, budget: str) -> dict[str, int]:
        """Return the ledger shares of the other VMs."""
        applied = self.ledgers.get(ledger_group(budget))
        grants = applied.ledger.budgets.get(budget, {}) if applied else {}
        return {
            holder.vm: grant.granted_ppm
            for holder, grant in grants.items()
            if holder.vm != self.own.vm
        }

    def _granted_ppm(self, budget: str) -> int:
        applied = self.ledgers.get(ledger_group(budget))
        return applied.ledger.grant(budget, self.own).granted_ppm if applied else 0

    def _set_shares(self, now_s: float) -> None:
        floor_ppm = self.floor_ppm()
        for budget, account in self.accounts.items():
            account.set_share(self._granted_ppm(budget), floor_ppm, now_s)

    def _publish_applied(self, now_s: float) -> None:
        """Publish the versions to which this VM keeps, its loans included."""
        for group, applied in self.ledgers.items():
            due = applied.confirmed_s is None or now_s - applied.confirmed_s >= APPLIED_REFRESH_S
            if not due or not self._lent_within_shares(group, now_s):
                continue
            applied.confirmed_s = now_s
            value = LedgerApplied(applied.version)
            self.facts.publish(APPLIED_KIND, group, value, ttl_ms=APPLIED_TTL_MS, now_s=now_s)

    def _lent_within_shares(self, group: str, now_s: float) -> bool:
        if not self.safeguards.check_lent_shares:
            return True
        return all(
            account.lent_ppm(now_s) <= account.ledger_ppm
            for budget, account in self.accounts.items()
            if ledger_group(budget) == group
        )
