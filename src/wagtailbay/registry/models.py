"""Data model of a target's entry in the store."""

from attrs import frozen


@frozen
class TargetEntry:
    """Entry in which one run of a target describes itself.

    Attributes:
        target: Identity of the target, which a later run may reuse.
        slots: Number of requests that it runs concurrently.
        draining: Whether it is shutting down and accepts no new requests.
        cold_remaining_ms: How long it stays cold, counted from when the entry was written.
        born_unix_ms: Start time, which distinguishes two runs under one identity.
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
