"""Encode and decode ledgers as JSON values."""

from typing import Any

from attrs import astuple
from result import Err, Ok, Result

from wagtailbay.allotment.const import LEDGER_TOTAL_PPM
from wagtailbay.allotment.models import BudgetGrants, Grant, Ledger, LedgerError, VmIncarnation

SCHEMA_VERSION = 1


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """Encode a ledger; each grant is a list of its VM incarnation's fields and its own."""
    return {
        "schema_version": SCHEMA_VERSION,
        "budgets": {
            budget: [
                [holder.vm, holder.incarnation, *astuple(grant)]
                for holder, grant in sorted(grants.items(), key=lambda item: _sort_key(item[0]))
            ]
            for budget, grants in sorted(ledger.budgets.items())
        },
    }


def decode_ledger(value: Any) -> Result[Ledger, LedgerError]:
    """Decode a ledger and check that its shares do not exceed the total."""
    if not isinstance(value, dict) or value.get("schema_version") != SCHEMA_VERSION:
        return Err(LedgerError(f"ledger does not have schema_version {SCHEMA_VERSION}"))
    budgets = value.get("budgets")
    if not isinstance(budgets, dict):
        return Err(LedgerError("ledger has no budgets object"))
    decoded_budgets: dict[str, BudgetGrants] = {}
    for budget, rows in budgets.items():
        decoded = _decode_grants(budget, rows)
        if isinstance(decoded, Err):
            return decoded
        decoded_budgets[budget] = decoded.ok_value
    return Ok(Ledger(decoded_budgets))


def _decode_grants(budget: str, rows: Any) -> Result[BudgetGrants, LedgerError]:
    if not isinstance(rows, list):
        return Err(LedgerError(f"budget {budget!r} is not a list"))
    grants: dict[VmIncarnation, Grant] = {}
    for row in rows:
        if not _is_valid_row(row):
            return Err(LedgerError(f"budget {budget!r} contains the invalid grant {row!r}"))
        holder = VmIncarnation(row[0], row[1])
        if holder in grants:
            return Err(LedgerError(f"budget {budget!r} contains {row[0]!r} twice"))
        grants[holder] = Grant(row[2], row[3], row[4])
    if sum(grant.held_ppm for grant in grants.values()) > LEDGER_TOTAL_PPM:
        return Err(
            LedgerError(f"budget {budget!r} has shares above {LEDGER_TOTAL_PPM} ppm in total")
        )
    return Ok(grants)


def _is_valid_row(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != 5 or not isinstance(row[0], str):
        return False
    # bool is a subclass of int in Python, so compare exact types to reject JSON true and false.
    if not all(type(number) is int for number in row[1:]):
        return False
    return 0 <= row[2] <= row[3] <= LEDGER_TOTAL_PPM and row[4] >= 0


def _sort_key(holder: VmIncarnation) -> tuple[str, int]:
    return holder.vm, holder.incarnation
