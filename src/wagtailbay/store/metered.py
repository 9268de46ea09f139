"""Object store wrapper that counts calls by outcome."""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from attrs import frozen
from result import Err, Result

from wagtailbay.store.models import (
    HistoryLost,
    Listing,
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    VmList,
    WatchError,
    WatchInterrupted,
)

T = TypeVar("T")
E = TypeVar("E")
OUTCOME_NAMES = {
    StoreUnavailable: "unavailable",
    HistoryLost: "history_lost",
    WatchInterrupted: "interrupted",
    VersionConflict: "conflict",
    OutcomeUnknown: "unknown",
}


@frozen
class MeteredObjectStore:
    """Object store that delegates to another one and reports the outcome of each call.

    Attributes:
        store: The store that carries out the calls.
        record_call: Called with the name of each call and its outcome: ``ok``, ``conflict``,
            ``unavailable``, ``history_lost``, ``interrupted`` or ``unknown``.
    """

    store: ObjectStore
    record_call: Callable[[str, str], None]

    def _record(self, call: str, call_result: Result[T, E]) -> Result[T, E]:
        outcome = (
            OUTCOME_NAMES[type(call_result.err_value)] if isinstance(call_result, Err) else "ok"
        )
        self.record_call(call, outcome)
        return call_result

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read one object, or None if it does not exist."""
        return self._record("get", await self.store.get(key))

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Read all objects whose keys start with one of the prefixes."""
        return self._record("list", await self.store.list(prefixes))

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, WatchError]:
        """Wait for changes after a revision; the listing is empty after the timeout."""
        return self._record("watch", await self.store.watch(prefixes, since_revision, timeout_ms))

    async def probe(self, timeout_ms: int) -> Result[None, StoreUnavailable]:
        """Check that the store answers this VM."""
        return self._record("probe", await self.store.probe(timeout_ms))

    async def vms(self) -> Result[VmList, StoreUnavailable]:
        """Read the platform's list of live and leaving VMs."""
        return self._record("vms", await self.store.vms())

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object and return its new version."""
        return self._record("put", await self.store.put(key, value, expected_version))

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object and return the revision of the deletion."""
        return self._record("delete", await self.store.delete(key, expected_version))
