"""Convert a routing table to the JSON value that VMs keep and exchange, and back."""

from typing import Any

from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

from wagtailbay.routing.models import RoutingTable

_CONVERTER = Converter()
# What structuring raises for a value of another form.
MALFORMED = (BaseValidationError, KeyError, TypeError, ValueError, AttributeError)


def unstructure_table(table: RoutingTable) -> Any:
    """Return the JSON value of a table."""
    plain = _CONVERTER.unstructure(table)
    for part in (*plain["routes"], *plain["workspaces"]):
        for name in ("allowed_regions", "keys"):
            if name in part:
                part[name] = sorted(part[name])
    return plain


def structure_table(value: Any) -> Result[RoutingTable, str]:
    """Return the table of a JSON value, or why it has none."""
    try:
        return Ok(_CONVERTER.structure(value, RoutingTable))
    except MALFORMED as error:
        return Err(f"{type(error).__name__}: {error}")
