"""Model the lease as it is stored."""

from typing import Any

from attrs import asdict, frozen


@frozen
class LeaseRecord:
    """Hold the value of the lease object.

    Attributes:
        term: Grows each time that the lease is taken.
        mark: Unique to one write, so that a writer recognises its own.
        released: The holder has ended its duties; others need not wait.
    """

    vm: str
    incarnation: int
    term: int
    mark: str
    released: bool = False

    def as_json(self) -> dict[str, Any]:
        """Return the record as JSON values."""
        return asdict(self)


def parse_record(value: Any) -> LeaseRecord | None:
    """Return the record of a stored value; None if it holds no valid one."""
    if not isinstance(value, dict):
        return None
    kinds = {"vm": str, "incarnation": int, "term": int, "mark": str}
    if any(type(value.get(name)) is not kind for name, kind in kinds.items()):
        return None
    fields = {name: value[name] for name in kinds}
    return LeaseRecord(**fields, released=value.get("released") is True)
