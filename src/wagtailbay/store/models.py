"""Model the objects, lists and errors of the platform's API."""

from collections.abc import Sequence
from typing import Any, Protocol

from attrs import frozen
from result import Result


@frozen
class StoredObject:
    """Hold one object.

    Attributes:
        key: Its name, for example ``documents/records``.
        version: The revision of its last write, from 1.
        value: Its JSON value, or None if it was deleted.
    """

    key: str
    version: int
    value: Any


@frozen
class Listing:
    """Hold objects and the store's revision at which they were read."""

    revision: int
    objects: tuple[StoredObject, ...]


@frozen
class VmRecord:
    """Hold one VM as the platform lists it; state is ``live`` or ``leaving``."""

    vm: str
    address: str
    availability_zone: str
    state: str


@frozen
class VmList:
    """Hold the platform's list of VMs, which may lag."""

    revision: int
    vms: tuple[VmRecord, ...]


@frozen
class StoreUnavailable:
    """Report that a read failed, or that a write was certainly not carried out."""

    message: str


@frozen
class HistoryLost:
    """Report that a watch cannot go on, since the store dropped the changes after its revision."""


@frozen
class OutcomeUnknown:
    """Report that a write may or may not have taken effect."""

    key: str
    message: str


@frozen
class VersionConflict:
    """Report that an object's version is not the expected one."""

    key: str
    current_version: int


StoreError = StoreUnavailable | OutcomeUnknown | VersionConflict


class ObjectStore(Protocol):
    """Read and write objects with versions, conditional updates and watches."""

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object; None if it does not exist."""

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read all objects whose keys start with one of the prefixes."""

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object and return its new version.

        An expected version of 0 means that the object must not exist, None that any will do.
        """

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object and return the revision of the deletion."""

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable | HistoryLost]:
        """Wait for changes after a revision; the listing is empty when the time runs out."""

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Read the platform's list of live and leaving VMs."""
