"""Hold objects in memory in place of the platform's object API."""

import json
from collections import Counter
from collections.abc import Sequence
from typing import Any

import trio
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


@define
class FakeObjectStore:
    """Answer like the object API, with faults that a test sets.

    Attributes:
        down: Every call fails and no write takes effect.
        lose_answers: So many writes take effect but report an unknown outcome.
        lose_writes: So many writes have no effect and report an unknown outcome.
        calls: Calls counted by kind.
    """

    revision: int = 0
    objects: dict[str, StoredObject] = field(factory=dict)
    vm_records: tuple[VmRecord, ...] = ()
    down: bool = False
    lose_answers: int = 0
    lose_writes: int = 0
    calls: Counter = field(factory=Counter)

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object; None if it does not exist."""
        answer = await self._call("get", self.objects.get(key))
        return answer.map(lambda stored: stored if stored and stored.value is not None else None)

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read all objects that exist under the prefixes."""
        found = tuple(o for o in self._select(prefixes, 0) if o.value is not None)
        return await self._call("list", Listing(self.revision, found))

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable]:
        """Return changes after a revision, deletions included; waits at most the timeout."""
        if not self._select(prefixes, since_revision):
            await trio.sleep(timeout_ms / 1000)
        found = self._select(prefixes, since_revision)
        return await self._call("watch", Listing(self.revision, found))

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Return the records that the test set."""
        return await self._call("vms", VmList(1, self.vm_records))

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object and return its new version."""
        return await self._write("put", key, json.loads(json.dumps(value)), expected_version)

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object and return the revision of the deletion."""
        return await self._write("delete", key, None, expected_version)

    def version(self, key: str) -> int:
        """Return the version of an object that exists, else 0."""
        stored = self.objects.get(key)
        return stored.version if stored and stored.value is not None else 0

    def _select(self, prefixes: Sequence[str], since: int) -> tuple[StoredObject, ...]:
        found = (o for o in self.objects.values() if o.key.startswith(tuple(prefixes)))
        return tuple(sorted((o for o in found if o.version > since), key=lambda o: o.key))

    async def _call(self, kind: str, answer: Any) -> Result[Any, StoreUnavailable]:
        await trio.lowlevel.checkpoint()
        self.calls[kind] += 1
        return Err(StoreUnavailable("the store is down")) if self.down else Ok(answer)

    async def _write(
        self, kind: str, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        reached = await self._call(kind, None)
        if isinstance(reached, Err):
            return reached
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return Err(OutcomeUnknown(key, "connection closed"))
        if expected_version is not None and self.version(key) != expected_version:
            return Err(VersionConflict(key, self.version(key)))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(OutcomeUnknown(key, "connection closed"))
        return Ok(self.revision)
