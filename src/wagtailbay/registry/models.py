"""Model the entry of a target."""

from typing import Any

from attrs import asdict, frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

_CONVERTER = Converter()


@frozen
class TargetEntry:
    """Hold what one start of a target says of itself.

    Attributes:
        target: Its identity, which a later start may have again.
        born_unix_ms: When it started; tells two starts under one identity apart.
        slots: How many requests it runs at the same time.
        draining: Whether it leaves and wants no new work.
        cold_remaining_ms: How long it stays cold, counted from when it said so.
    """

    target: str
    address: str
    service: str
    version: str
    availability_zone: str
    slots: int
    draining: bool
    cold_remaining_ms: float
    born_unix_ms: int = 0


def unstructure_entry(entry: TargetEntry) -> dict[str, Any]:
    """Return the JSON value of an entry."""
    return asdict(entry)


def structure_entry(value: Any) -> Result[TargetEntry, str]:
    """Return the entry of a JSON value, or why it has none."""
    try:
        return Ok(_CONVERTER.structure(value, TargetEntry))
    except (BaseValidationError, KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")
