"""Keep objects in memory behind the interface of the object store."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.platform import (
    Listing,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    VmList,
    VmRecord,
)


async def at_once() -> None:
    """Take no time."""


@define
class MemoryStore:
    """Keep objects with versions and conditional updates, with an outage and lost answers.

    Attributes:
        travel: Awaited before a call takes effect and before its answer arrives.
        lost_answers: How many of the next writes take effect without an answer.
        vm_names: The VMs on the platform's list.
    """

    travel: Callable[[], Awaitable[None]] = at_once
    outage: bool = False
    lost_answers: int = 0
    revision: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    vm_names: list[str] = field(factory=list)

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object."""
        await self.travel()
        return self._unless_outage(self.objects.get(key))

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read the objects under the prefixes."""
        await self.travel()
        found = (o for o in self.objects.values() if o.key.startswith(tuple(prefixes)))
        answer = self._unless_outage(Listing(self.revision, tuple(found)))
        await self.travel()
        return answer

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object."""
        await self.travel()
        if self.outage:
            return Err(StoreUnavailable("outage"))
        current = self.objects.get(key)
        version = current.version if current else 0
        if expected_version is not None and version != expected_version:
            return Err(VersionConflict(key, version))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        written = self.revision
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(OutcomeUnknown(key, "answer lost"))
        await self.travel()
        return Ok(written)

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Read the list of VMs."""
        records = tuple(VmRecord(vm, "", "", "live") for vm in self.vm_names)
        return self._unless_outage(VmList(self.revision, records))

    def _unless_outage(self, answer: Any) -> Result[Any, StoreUnavailable]:
        return Err(StoreUnavailable("outage")) if self.outage else Ok(answer)
