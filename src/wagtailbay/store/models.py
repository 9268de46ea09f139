"""Objects, listings and errors of the platform's API."""

from collections.abc import Sequence
from typing import Any, Protocol

from attrs import frozen
from result import Result


@frozen
class StoredObject:
    """Versioned object of the store.

    Attributes:
        key: Key, for example ``documents/records``.
        version: Store revision of the last write, starting at 1.
        value: JSON value, or None if the object was deleted.
    """

    key: str
    version: int
    value: Any


@frozen
class Listing:
    """Objects and the store revision at which they were read."""

    revision: int
    objects: tuple[StoredObject, ...]


@frozen
class VmRecord:
    """VM as listed by the platform; ``state`` is ``live`` or ``leaving``."""

    vm: str
    address: str
    availability_zone: str
    state: str


@frozen
class VmList:
    """The platform's list of VMs, which may be out of date."""

    revision: int
    vms: tuple[VmRecord, ...]


@frozen
class StoreUnavailable:
    """Error: a read failed, or a write was certainly not carried out."""

    message: str


@frozen
class HistoryLost:
    """Error: a watch cannot continue, since the store has discarded changes after its revision."""


@frozen
class WatchInterrupted:
    """Error: the connection of a waiting watch ended; the watch can continue on another one."""

    message: str


@frozen
class OutcomeUnknown:
    """Error: a write may or may not have taken effect."""

    key: str
    message: str


@frozen
class VersionConflict:
    """Error: a conditional write did not match the current version of the object."""

    key: str
    current_version: int


StoreError = StoreUnavailable | OutcomeUnknown | VersionConflict
WatchError = StoreUnavailable | HistoryLost | WatchInterrupted


class ObjectStore(Protocol):
    """Store of versioned objects with conditional writes and watches."""

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object, or None if it does not exist."""

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read all objects whose keys start with one of the prefixes."""

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object and return its new version.

        The write is conditional unless expected_version is None; 0 means that the object must not
        exist.
        """

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object and return the revision of the deletion."""

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, WatchError]:
        """Wait for changes after a revision; the listing is empty after the timeout."""

    async def probe(self, timeout_ms: int) -> Result[None, StoreUnavailable]:
        """Check that the store answers this VM; the answer may come from an outdated copy."""

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Read the platform's list of live and leaving VMs."""
