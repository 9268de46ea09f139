"""Wire up the allotment slice of one VM."""

from collections.abc import Callable, Mapping

import trio
from attrs import define, field

from wagtailbay.allotment.const import TICK_INTERVAL_S
from wagtailbay.allotment.coordinator import LedgerCoordinator
from wagtailbay.allotment.ledger_shares import LedgerShares
from wagtailbay.allotment.loans import LoanManager
from wagtailbay.allotment.models import Safeguards, VmIncarnation
from wagtailbay.allotment.ports import FleetState, LoanClient
from wagtailbay.limits import BudgetLimit
from wagtailbay.membership import FactTable, LoanGrant, LoanRequest
from wagtailbay.replica import Replica
from wagtailbay.store import ObjectStore


@define
class Allotment:
    """Facade of budget distribution on one VM: shares, loans and ledger coordination.

    Attributes:
        limits: Returns the limit of every configured budget; see ``budget_limits``.
        max_vms: Returns the maximum number of concurrently live VMs, None while unknown.
        started_s: Time from which tokens accrue; the buckets start empty.
        loans_enabled: Whether this VM borrows; benchmarks disable it to measure the effect of
            loans.
    """

    fleet: FleetState
    loan_client: LoanClient
    store: ObjectStore
    replica: Replica
    facts: FactTable
    limits: Callable[[], Mapping[str, BudgetLimit]]
    max_vms: Callable[[], int | None]
    clock: Callable[[], float]
    started_s: float
    safeguards: Safeguards = field(factory=Safeguards)
    loans_enabled: bool = True
    shares: LedgerShares = field(init=False)
    loans: LoanManager = field(init=False)
    coordinator: LedgerCoordinator = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components and connect their callbacks."""
        own = VmIncarnation(self.facts.vm, self.facts.incarnation)
        self.shares = LedgerShares(
            own,
            self.fleet,
            self.replica,
            self.facts,
            self.limits,
            self.max_vms,
            self.started_s,
            self.safeguards,
        )
        self.loans = LoanManager(self.shares, self.fleet, self.loan_client, self.clock)
        if self.loans_enabled:
            self.shares.on_low_tokens = self.loans.on_low_tokens
            self.shares.on_loans_spent = self.loans.on_loans_spent
        self.coordinator = LedgerCoordinator(
            self.fleet,
            self.store,
            self.facts,
            self.limits,
            self.shares.floor_ppm,
            self.clock,
            self.safeguards,
        )

    def lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Handle a loan request from another VM."""
        return self.loans.lend(request, now_s)

    def status(self, now_s: float) -> dict:
        """Return this VM's share and tokens of each budget as JSON values."""
        return {
            budget: {
                "granted_ppm": account.ledger_ppm,
                "usable_ppm": account.usable_ppm(now_s),
                "lent_ppm": account.lent_ppm(now_s),
                "borrowed_ppm": account.borrowed_ppm(now_s),
                "tokens": round(account.level(now_s), 1),
            }
            for budget, account in sorted(self.shares.accounts.items())
        }

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            nursery.start_soon(self._follow_ledgers)
            nursery.start_soon(self.loans.run)
            nursery.start_soon(self.coordinator.run)

    async def _tick(self) -> None:
        while True:
            self.shares.tick(self.clock())
            await trio.sleep(TICK_INTERVAL_S)

    async def _follow_ledgers(self) -> None:
        while True:
            self.shares.apply_replica_ledgers(self.clock())
            await self.replica.changed.wait()
