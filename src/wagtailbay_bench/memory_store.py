"""In-memory implementation of the object store interface with injectable faults."""

import json
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.store import (
    Listing,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    VmList,
    VmRecord,
)


@define
class MemoryStore:
    """Object store in memory that fails on request.

    Attributes:
        simulate_latency: Awaited before a call takes effect and before its response arrives.
        vm_records: The platform's list of VMs.
        down: Whether every call fails without effect.
        lose_answers: Number of next writes that take effect but report an unknown outcome.
        lose_writes: Number of next writes that have no effect and report an unknown outcome.
        calls: Number of calls by kind.
    """

    simulate_latency: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
    revision: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    vm_records: tuple[VmRecord, ...] = ()
    down: bool = False
    lose_answers: int = 0
    lose_writes: int = 0
    calls: Counter = field(factory=Counter)

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return an object, or None if it does not exist."""
        return await self._read("get", lambda: self.objects.get(key) if self.version(key) else None)

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Return all existing objects whose keys start with one of the prefixes."""

        def list_existing() -> Listing:
            matches = (o for o in self._select(prefixes, 0) if o.value is not None)
            return Listing(self.revision, tuple(matches))

        return await self._read("list", list_existing)

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable]:
        """Return the changes since a revision, including deletions.

        Without changes, sleeps for the whole timeout before it reads again.
        """
        if not self._select(prefixes, since_revision):
            await trio.sleep(timeout_ms / 1000)
        return await self._read(
            "watch", lambda: Listing(self.revision, self._select(prefixes, since_revision))
        )

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Return the platform's list of VMs."""
        return await self._read("vms", lambda: VmList(max(1, self.revision), self.vm_records))

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object and return its new version."""
        return await self._write("put", key, json.loads(json.dumps(value)), expected_version)

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object and return the revision of the deletion."""
        return await self._write("delete", key, None, expected_version)

    def version(self, key: str) -> int:
        """Return the version of an object, or 0 if it does not exist."""
        stored = self.objects.get(key)
        return stored.version if stored and stored.value is not None else 0

    async def probe(self, timeout_ms: int) -> Result[None, StoreUnavailable]:
        """Check that the store answers."""
        return await self._begin_call("probe")

    def add_vm(self, vm: str) -> None:
        """Add a VM to the platform's list unless it is already listed."""
        if all(record.vm != vm for record in self.vm_records):
            self.vm_records += (VmRecord(vm, "", "", "live"),)

    def remove_vm(self, vm: str) -> None:
        """Remove a VM from the platform's list."""
        self.vm_records = tuple(record for record in self.vm_records if record.vm != vm)

    def _select(self, prefixes: Sequence[str], since_revision: int) -> tuple[StoredObject, ...]:
        matches = (o for o in self.objects.values() if o.key.startswith(tuple(prefixes)))
        return tuple(
            sorted((o for o in matches if o.version > since_revision), key=lambda o: o.key)
        )

    async def _read(self, kind: str, read: Callable[[], Any]) -> Result[Any, StoreUnavailable]:
        call_result = await self._begin_call(kind)
        if isinstance(call_result, Err):
            return call_result
        value = read()
        await self.simulate_latency()
        return Ok(value)

    async def _begin_call(self, kind: str) -> Result[None, StoreUnavailable]:
        await self.simulate_latency()
        self.calls[kind] += 1
        return Err(StoreUnavailable("the store is down")) if self.down else Ok(None)

    async def _write(
        self, kind: str, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        call_result = await self._begin_call(kind)
        if isinstance(call_result, Err):
            return call_result
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return Err(OutcomeUnknown(key, "connection closed"))
        if expected_version is not None and self.version(key) != expected_version:
            return Err(VersionConflict(key, self.version(key)))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        new_version = self.revision
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(OutcomeUnknown(key, "connection closed"))
        await self.simulate_latency()
        return Ok(new_version)
