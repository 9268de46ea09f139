"""Test replication from a store with one watch for each key prefix."""

import random

import trio
from result import Err, Ok

from wagtailbay.replica import Freshness, PrefixReader, Replica
from wagtailbay.store import HistoryLost, Listing, StoredObject, StoreUnavailable, WatchInterrupted

PREFIXES = ("a/", "b/")


class FakeStore:
    """In-memory store whose failures a test controls."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.unavailable = False
        self.history_lost: set[str] = set()
        self.interruptions = 0
        self.unavailable_lists = False
        self.calls: list[str] = []

    def put(self, key: str, value: object) -> None:
        """Write an object at the next revision."""
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)

    def _of(self, prefix: str, since: int = 0) -> tuple[StoredObject, ...]:
        found = self.objects.values()
        return tuple(o for o in found if o.key.startswith(prefix) and o.version > since)

    async def list(self, prefixes):
        """List the existing objects under the first prefix."""
        self.calls.append(f"list {prefixes[0]}")
        await trio.sleep(0.001)
        if self.unavailable or self.unavailable_lists:
            return Err(StoreUnavailable("down"))
        existing = (o for o in self._of(prefixes[0]) if o.value is not None)
        return Ok(Listing(self.revision, tuple(existing)))

    async def watch(self, prefixes, since_revision, timeout_ms):
        """Return the changes since a revision after a short wait."""
        self.calls.append(f"watch {prefixes[0]}")
        await trio.sleep(0.01)
        if self.unavailable:
            return Err(StoreUnavailable("down"))
        if self.interruptions:
            self.interruptions -= 1
            return Err(WatchInterrupted("closed"))
        if prefixes[0] in self.history_lost:
            self.history_lost.discard(prefixes[0])
            return Err(HistoryLost())
        return Ok(Listing(self.revision, self._of(prefixes[0], since_revision)))


class ReaderHarness:
    """Running prefix reader with a fake store."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store, self.replica, self.freshness = FakeStore(), Replica(), Freshness()
        self.watches = True
        self.failed: list[float] = []
        self.reader = PrefixReader(
            self.store,
            self.replica,
            self.freshness,
            lambda: self.watches,
            trio.current_time,
            random.Random(1),
            PREFIXES,
            on_failure=self.failed.append,
        )
        nursery.start_soon(self.reader.run)

    async def wait_until(self, condition) -> None:
        """Wait until the condition is true."""
        with trio.fail_after(30):
            while not condition():
                await trio.sleep(0.005)


class TestPrefixReader:
    """The reader replicates all prefixes, even after failures."""

    async def test_changes_under_all_prefixes_are_applied(self, nursery):
        """Guards against a prefix that is not replicated."""
        harness = ReaderHarness(nursery)
        harness.store.put("a/1", "x")
        harness.store.put("b/1", "y")
        await harness.wait_until(lambda: harness.replica.value("b/1") == "y")
        harness.store.put("a/1", "z")
        await harness.wait_until(lambda: harness.replica.value("a/1") == "z")
        assert harness.freshness.age_ms(trio.current_time()) < 1_000

    async def test_lost_history_triggers_listing(self, nursery):
        """Guards against missing a deletion whose change the store has discarded."""
        harness = ReaderHarness(nursery)
        harness.store.put("a/1", "x")
        harness.store.put("a/2", "x")
        await harness.wait_until(lambda: harness.replica.value("a/2") == "x")
        del harness.store.objects["a/1"]
        harness.store.revision += 1
        harness.store.history_lost.add("a/")
        await harness.wait_until(lambda: harness.replica.value("a/1") is None)
        assert harness.replica.value("a/2") == "x"

    async def test_failure_is_reported_and_listing_recovers(self, nursery):
        """Guards against treating entries that expire during an outage as removed."""
        harness = ReaderHarness(nursery)
        harness.store.put("a/1", "x")
        await harness.wait_until(lambda: harness.replica.value("a/1") == "x")
        harness.store.unavailable = True
        await harness.wait_until(lambda: harness.failed and not harness.reader.contact.reachable)
        harness.store.unavailable = False
        harness.store.put("a/1", "z")
        await harness.wait_until(lambda: harness.replica.value("a/1") == "z")

    async def test_interrupted_watch_continues(self, nursery):
        """Guards against one cut watch that counts as an outage of the store."""
        harness = ReaderHarness(nursery)
        harness.store.put("a/1", "one")
        await harness.wait_until(lambda: harness.replica.value("a/1") == "one")
        lists = sum(call.startswith("list") for call in harness.store.calls)
        harness.store.interruptions = 1
        await harness.wait_until(lambda: not harness.store.interruptions)
        harness.store.put("a/1", "two")
        await harness.wait_until(lambda: harness.replica.value("a/1") == "two")
        assert harness.failed == []
        assert harness.reader.contact.reachable
        assert sum(call.startswith("list") for call in harness.store.calls) == lists

    async def test_watches_that_are_interrupted_again_are_replaced_by_listings(self, nursery):
        """Guards against a store that ends each watch and whose changes stay unknown."""
        harness = ReaderHarness(nursery)
        await harness.wait_until(lambda: harness.reader.contact.reachable)
        harness.store.interruptions = 1_000_000
        harness.store.put("b/1", "two")
        await harness.wait_until(lambda: harness.replica.value("b/1") == "two")
        harness.store.unavailable_lists = True
        await harness.wait_until(lambda: harness.failed)
        assert harness.reader.contact.is_failing

    async def test_vm_updated_by_peers_makes_no_calls(self, nursery):
        """Guards against store calls that grow with the fleet."""
        harness = ReaderHarness(nursery)
        await harness.wait_until(lambda: harness.freshness.confirmed_s is not None)
        harness.watches = False
        await trio.sleep(0.1)
        harness.store.calls.clear()
        for _ in range(10):
            harness.freshness.confirm(trio.current_time())
            await trio.sleep(0.05)
        assert harness.store.calls == []


class TestReplacePrefix:
    """A listing of one prefix updates only that prefix."""

    def test_other_prefixes_are_unchanged(self):
        """Guards against a listing that deletes objects under another prefix."""
        replica = Replica()
        replica.apply([StoredObject("a/1", 1, "x"), StoredObject("b/1", 2, "y")], 2)
        replica.replace_prefix("a/", [StoredObject("a/2", 3, "z")], 4)
        assert replica.value("a/1") is None
        assert (replica.value("a/2"), replica.value("b/1")) == ("z", "y")
        assert replica.revision == 2

    def test_equal_replicas_have_equal_digests(self):
        """Guards against sending objects again to a peer that has them."""
        first, second = Replica(), Replica()
        objects = [StoredObject("a/1", 1, "x"), StoredObject("b/1", 2, "y")]
        first.apply(objects, 2)
        second.apply(reversed(objects), 2)
        assert first.digest == second.digest
        second.apply([StoredObject("a/1", 3, None)], 3)
        assert first.digest != second.digest


class TestStoreCallsAtStart:
    """VMs that start together leave the store to the watchers among them."""

    def start_reader(self, nursery, is_watcher: bool) -> tuple[FakeStore, Freshness]:
        """Return the store and freshness of a started reader that waits 1 s for peers."""
        store, freshness = FakeStore(), Freshness()
        reader = PrefixReader(
            store,
            Replica(),
            freshness,
            lambda: is_watcher,
            trio.current_time,
            random.Random(1),
            PREFIXES,
            peer_wait_s=1.0,
        )
        nursery.start_soon(reader.run)
        return store, freshness

    async def test_vm_that_hears_its_peers_does_not_call_the_store(self, autojump_clock, nursery):
        """Guards against calls that grow with the number of VMs when the whole fleet starts."""
        store, freshness = self.start_reader(nursery, is_watcher=False)
        await trio.sleep(2.0)
        freshness.confirm(trio.current_time())
        await trio.sleep(3.0)
        assert store.calls == []

    async def test_vm_without_peers_lists_the_store(self, autojump_clock, nursery):
        """Guards against a VM that waits for peers that do not answer."""
        store, _ = self.start_reader(nursery, is_watcher=False)
        await trio.sleep(4.0)
        assert set(store.calls) == {"list a/", "list b/"}

    async def test_watcher_waits_only_until_it_can_know_the_others(self, autojump_clock, nursery):
        """Guards against a fleet that gets its first configuration late."""
        store, _ = self.start_reader(nursery, is_watcher=True)
        await trio.sleep(0.9)
        assert store.calls == []
        await trio.sleep(0.8)
        assert "watch a/" in store.calls
