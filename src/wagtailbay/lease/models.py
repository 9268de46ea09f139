"""Data model of the lease object in the store."""

from typing import Any

from attrs import asdict, frozen


@frozen
class LeaseRecord:
    """Value of the lease object.

    Attributes:
        term: Increases each time the lease is acquired.
        mark: Unique to each write, so that a writer recognizes its own write.
        released: The holder gave up the lease; others may acquire it without waiting.
    """

    vm: str
    incarnation: int
    term: int
    mark: str
    released: bool = False

    def as_json(self) -> dict[str, Any]:
        """Return the JSON object to store."""
        return asdict(self)


def parse_record(value: Any) -> LeaseRecord | None:
    """Parse a stored value; return None if it is not a valid record."""
    if not isinstance(value, dict):
        return None
    kinds = {"vm": str, "incarnation": int, "term": int, "mark": str}
    if any(type(value.get(name)) is not kind for name, kind in kinds.items()):
        return None
    fields = {name: value[name] for name in kinds}
    return LeaseRecord(**fields, released=value.get("released") is True)
