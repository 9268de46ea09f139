"""Divide budgets whose total the sum over VMs may never exceed."""

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.assembly import Allotment
from wagtailbay.allotment.catalogue import budgets_of, group_of
from wagtailbay.allotment.const import APPLIED_KIND, DEMAND_KIND
from wagtailbay.allotment.equal import EqualShares
from wagtailbay.allotment.holding import Holding
from wagtailbay.allotment.keeper import LedgerKeeper
from wagtailbay.allotment.ledger import Evidence, plan_ledger
from wagtailbay.allotment.loans import LoanBook
from wagtailbay.allotment.models import (
    BorrowFailed,
    Demand,
    Grant,
    Holder,
    Ledger,
    LedgerApplied,
    LedgerFault,
    Safeguards,
)
from wagtailbay.allotment.ports import Fleet, Lender
from wagtailbay.membership import register_fact

__all__ = [
    "Account",
    "Allotment",
    "BorrowFailed",
    "Demand",
    "EqualShares",
    "Evidence",
    "Fleet",
    "Grant",
    "Holder",
    "Holding",
    "Ledger",
    "LedgerApplied",
    "LedgerFault",
    "LedgerKeeper",
    "Lender",
    "LoanBook",
    "Safeguards",
    "budgets_of",
    "group_of",
    "plan_ledger",
]

register_fact(DEMAND_KIND, Demand)
register_fact(APPLIED_KIND, LedgerApplied)
