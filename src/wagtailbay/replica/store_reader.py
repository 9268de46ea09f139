"""Replication from a store in which one watch covers all prefixes."""

import random
from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.replica.const import (
    LIST_INTERVAL_S,
    MAX_BACKOFF_S,
    REPLICATED_PREFIXES,
    STALE_AFTER_S,
    WATCH_TIMEOUT_MS,
)
from wagtailbay.replica.replica import Freshness, Replica
from wagtailbay.replica.store_contact import StoreContact
from wagtailbay.store import ObjectStore, StoreUnavailable


@define
class StoreReader:
    """Reader that keeps a replica up to date from the store.

    Only the VMs selected as watchers watch the store. Other VMs receive changes from their peers,
    and list the store themselves if their replica becomes stale.

    Attributes:
        is_watcher: Returns whether this VM is currently a watcher.
        contact: Outcome of the latest calls.
        failures: Number of consecutive failed calls.
    """

    store: ObjectStore
    replica: Replica
    freshness: Freshness
    is_watcher: Callable[[], bool]
    clock: Callable[[], float]
    random: random.Random
    contact: StoreContact = field(factory=StoreContact)
    failures: int = 0

    async def run(self) -> None:
        """Replicate the store until cancelled."""
        await self._list()
        while True:
            if not self.contact.reachable:
                await trio.sleep(self._backoff_s())
                if self.is_watcher() or self._is_stale():
                    await self._list()
            elif self.is_watcher():
                await self._watch()
            else:
                await trio.sleep(LIST_INTERVAL_S * self.random.uniform(0.8, 1.2))
                if self._is_stale():
                    await self._list()

    def _is_stale(self) -> bool:
        age_ms = self.freshness.age_ms(self.clock())
        return age_ms is None or age_ms > STALE_AFTER_S * 1000

    def _backoff_s(self) -> float:
        max_delay_s = min(MAX_BACKOFF_S, 0.25 * 2 ** min(self.failures, 10))
        return max_delay_s * self.random.uniform(0.5, 1.0)

    async def _list(self) -> None:
        requested_s = self.clock()
        match await self.store.list(REPLICATED_PREFIXES):
            case Ok(listing):
                self.replica.replace(listing.objects, listing.revision)
                self._record_response(listing.revision, requested_s)
            case Err(error):
                self._record_failure(error)

    async def _watch(self) -> None:
        requested_s = self.clock()
        match await self.store.watch(REPLICATED_PREFIXES, self.replica.revision, WATCH_TIMEOUT_MS):
            case Ok(listing):
                self.replica.apply(listing.objects, listing.revision)
                self._record_response(listing.revision, requested_s)
            case Err(error):
                self._record_failure(error)

    def _record_response(self, revision: int, requested_s: float) -> None:
        """Record a response, which confirms the state at the time its request was sent."""
        self.freshness.confirm(requested_s)
        self.contact.record_success(requested_s, revision)
        self.failures = 0

    def _record_failure(self, error: StoreUnavailable) -> None:
        self.contact.record_failure(str(error))
        self.failures += 1
