"""Test the replica and how often each VM calls the store."""

import random
from collections import Counter
from collections.abc import Sequence

import trio
from attrs import define, field
from result import Err, Ok, Result
from trio.testing import MockClock

from wagtailbay.replica import Freshness, Replica, StoreReader
from wagtailbay.store import Listing, StoredObject, StoreUnavailable


@define
class CountingStore:
    """Empty store that counts its calls."""

    up: bool = True
    calls: Counter = field(factory=Counter)

    async def list(self, prefixes: Sequence[str]) -> Result:
        """Return an empty listing at once."""
        self.calls["list"] += 1
        return Ok(Listing(1, ())) if self.up else Err(StoreUnavailable("down"))

    async def watch(self, prefixes: Sequence[str], since_revision: int, timeout_ms: int) -> Result:
        """Return no changes after the timeout."""
        self.calls["watch"] += 1
        await trio.sleep(timeout_ms / 1000)
        return Ok(Listing(1, ())) if self.up else Err(StoreUnavailable("down"))


async def count_calls(
    seconds: float, store: CountingStore, *, watcher: bool, updated_by_peers: bool
) -> Counter:
    """Run a reader on trio's mock clock and return the store calls by kind."""
    freshness = Freshness()
    reader = StoreReader(
        store, Replica(), freshness, lambda: watcher, trio.current_time, random.Random(1)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.run)
        for _ in range(round(seconds / 0.5)):
            await trio.sleep(0.5)
            if updated_by_peers:
                freshness.confirm(trio.current_time())
        nursery.cancel_scope.cancel()
    return store.calls


class TestStoreReader:
    """Only watchers call the store while peers relay its changes."""

    async def test_vm_updated_by_peers_lists_once(self, autojump_clock: MockClock) -> None:
        """Guards against store calls that grow with the fleet."""
        calls = await count_calls(60, CountingStore(), watcher=False, updated_by_peers=True)
        assert calls == {"list": 1}

    async def test_vm_without_peer_updates_lists_at_most_once_per_second(
        self, autojump_clock: MockClock
    ) -> None:
        """Guards against an isolated VM that gets no updates or overloads the store."""
        calls = await count_calls(60, CountingStore(), watcher=False, updated_by_peers=False)
        assert 10 <= calls["list"] <= 60

    async def test_outage_increases_backoff(self, autojump_clock: MockClock) -> None:
        """Guards against a fleet that calls an unavailable store at full rate."""
        store = CountingStore(up=False)
        calls = await count_calls(120, store, watcher=True, updated_by_peers=False)
        assert calls.total() <= 30

    async def test_non_watcher_restarted_in_outage_does_not_poll(
        self, autojump_clock: MockClock
    ) -> None:
        """Guards against every VM calling a store that is recovering."""
        store = CountingStore(up=False)
        calls = await count_calls(60, store, watcher=False, updated_by_peers=True)
        assert calls.total() <= 2


class TestReplica:
    """Object versions never decrease, not even through listings."""

    def test_listing_deletes_missing_objects(self) -> None:
        """Guards against a deleted key that a VM still accepts because it missed the deletion."""
        replica = Replica()
        replica.apply([StoredObject("keys/1", 1, {}), StoredObject("keys/2", 2, {})], 2)
        assert replica.replace([StoredObject("keys/2", 2, {})], 5)
        assert replica.value("keys/1") is None
        assert replica.delta_since(2)[0].key == "keys/1"

    def test_older_listing_is_ignored(self) -> None:
        """Guards against a delayed response that deletes or reverts newer objects."""
        replica = Replica()
        replica.apply([StoredObject("keys/1", 6, {"n": 6}), StoredObject("keys/2", 7, {})], 7)
        assert not replica.replace([StoredObject("keys/1", 3, {"n": 3})], 5)
        assert replica.value("keys/1") == {"n": 6}
        assert replica.value("keys/2") == {}
