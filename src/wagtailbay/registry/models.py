"""Model the entry of a target."""

from attrs import frozen


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
