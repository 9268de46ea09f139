"""Distribute fleet-wide rate budgets among VMs without ever exceeding their totals."""

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.assembly import Allotment
from wagtailbay.allotment.budgets import budget_limits, ledger_group
from wagtailbay.allotment.const import APPLIED_KIND, DEMAND_KIND
from wagtailbay.allotment.coordinator import LedgerCoordinator
from wagtailbay.allotment.equal import EqualShares
from wagtailbay.allotment.ledger import PlanInputs, plan_ledger
from wagtailbay.allotment.ledger_shares import LedgerShares
from wagtailbay.allotment.loans import LoanManager
from wagtailbay.allotment.models import (
    BorrowFailed,
    Demand,
    Grant,
    Ledger,
    LedgerApplied,
    LedgerError,
    Safeguards,
    VmIncarnation,
)
from wagtailbay.allotment.ports import FleetState, LoanClient
from wagtailbay.membership import register_fact

__all__ = [
    "Account",
    "Allotment",
    "BorrowFailed",
    "Demand",
    "EqualShares",
    "PlanInputs",
    "FleetState",
    "Grant",
    "VmIncarnation",
    "LedgerShares",
    "Ledger",
    "LedgerApplied",
    "LedgerError",
    "LedgerCoordinator",
    "LoanClient",
    "LoanManager",
    "Safeguards",
    "budget_limits",
    "ledger_group",
    "plan_ledger",
]

register_fact(DEMAND_KIND, Demand)
register_fact(APPLIED_KIND, LedgerApplied)
