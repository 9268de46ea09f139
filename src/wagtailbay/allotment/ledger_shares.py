"""Apply the ledgers to this VM's budget accounts."""

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
    """Ledger that this VM has applied.

    Attributes:
        confirmed_s: When this VM last published that it complies with the version, None if never.
    """

    version: int
    ledger: Ledger
    confirmed_s: float | None = None


@define
class LedgerShares:
    """Share source that sizes this VM's accounts by the ledgers, the floor and isolation.

    Attributes:
        own: This VM's incarnation.
        limits: Returns the limit of every configured budget.
        max_vms: Returns the maximum number of concurrently live VMs, None while unknown.
        on_low_tokens: Called when an account runs low; returns whether a loan may bring tokens.
        on_loans_spent: Called when an account has spent the tokens of its loans.
        ledgers: Applied ledger of each group.
        rejected_versions: Latest version of each ledger object that failed to decode.
        last_tick_s: When tick() last ran on this VM.
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
        """Create the demand tracker and start the stall timer."""
        self.demand = DemandTracker(self.facts)
        self.last_tick_s = self.started_s

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Record the amount of a request, whether or not it is admitted."""
        self.demand.record(budget, amount, now_s)

    def account(self, budget: str, limit: BudgetLimit, now_s: float) -> Account:
        """Return this VM's account of a budget after setting its current limit."""
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
        """Return the floor of one VM, an equal part of the floor reserve."""
        max_vms = self.max_vms()
        if not max_vms:
            return 0
        return (
            FLOOR_RESERVE_PPM // max_vms
            if self.safeguards.divide_floor_reserve
            else FLOOR_RESERVE_PPM
        )

    def is_floor_only(self, now_s: float) -> bool:
        """Return whether this VM may use only its floor, after a stall or while isolated."""
        if not self.safeguards.restrict_isolated:
            return False
        return now_s - self.last_tick_s > LOOP_STALL_TIMEOUT_S or self.fleet.is_isolated(now_s)

    def sync_ledgers(self, now_s: float) -> None:
        """Apply ledgers that reached the replica since the last call.

        Accounts call this before tokens are used, because the exchange that ends an isolation may
        deliver a decrease before any task applies it.
        """
        if self.replica.revision != self._applied_revision:
            self.apply_replica_ledgers(now_s)

    def apply_replica_ledgers(self, now_s: float) -> None:
        """Apply every ledger whose version in the replica is newer than the applied one."""
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
        """Apply a ledger object if it is valid and newer than the applied version.

        Returns:
            Whether it was applied, or why it cannot be decoded.
        """
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
        """Update accounts, limits and published facts.

        It must run at least every 5 s, because a longer gap limits this VM to its floor.
        """
        self.sync_ledgers(now_s)
        limits = self.limits()
        for budget, limit in limits.items():
            # Only changed limits are set, since a caller may have lowered one, e.g. for lost slots.
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
        """Return the ledger share of each other VM, in parts per million."""
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
        """Publish the ledger versions that this VM complies with, including its lent shares."""
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
