"""Encode ledgers as JSON values."""

from typing import Any

from attrs import astuple
from result import Err, Ok, Result

from wagtailbay.allotment.const import LEDGER_PPM
from wagtailbay.allotment.models import Division, Grant, Holder, Ledger, LedgerFault

SCHEMA_VERSION = 1


def encode_ledger(ledger: Ledger) -> dict[str, Any]:
    """Encode a ledger; each grant is a list of the fields of its holder and its own."""
    return {
        "schema_version": SCHEMA_VERSION,
        "budgets": {
            budget: [
                [holder.vm, holder.incarnation, *astuple(grant)]
                for holder, grant in sorted(division.items(), key=lambda item: _order(item[0]))
            ]
            for budget, division in sorted(ledger.budgets.items())
        },
    }


def decode_ledger(value: Any) -> Result[Ledger, LedgerFault]:
    """Decode a ledger and check that it gives away no more than the whole."""
    if not isinstance(value, dict) or value.get("schema_version") != SCHEMA_VERSION:
        return Err(LedgerFault(f"the ledger has no schema_version {SCHEMA_VERSION}"))
    budgets = value.get("budgets")
    if not isinstance(budgets, dict):
        return Err(LedgerFault("the ledger has no budgets"))
    divisions: dict[str, Division] = {}
    for budget, rows in budgets.items():
        decoded = _decode_division(budget, rows)
        if isinstance(decoded, Err):
            return decoded
        divisions[budget] = decoded.ok_value
    return Ok(Ledger(divisions))


def _decode_division(budget: str, rows: Any) -> Result[Division, LedgerFault]:
    if not isinstance(rows, list):
        return Err(LedgerFault(f"budget {budget!r} is no list"))
    division: dict[Holder, Grant] = {}
    for row in rows:
        if not _is_row(row):
            return Err(LedgerFault(f"budget {budget!r} has the bad grant {row!r}"))
        holder = Holder(row[0], row[1])
        if holder in division:
            return Err(LedgerFault(f"budget {budget!r} names {row[0]!r} twice"))
        division[holder] = Grant(row[2], row[3], row[4])
    if sum(grant.held_ppm for grant in division.values()) > LEDGER_PPM:
        return Err(LedgerFault(f"budget {budget!r} gives away more than {LEDGER_PPM} ppm"))
    return Ok(division)


def _is_row(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != 5 or not isinstance(row[0], str):
        return False
    # A JSON true is an int in Python, hence the comparison of types.
    if not all(type(number) is int for number in row[1:]):
        return False
    return 0 <= row[2] <= row[3] <= LEDGER_PPM and row[4] >= 0


def _order(holder: Holder) -> tuple[str, int]:
    return holder.vm, holder.incarnation
