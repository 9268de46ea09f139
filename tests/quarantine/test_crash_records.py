"""Tests that crash counts outlive all VMs, through a real store interface."""

import random

import pytest
import trio

from wagtailbay.membership import FactTable
from wagtailbay.quarantine import CrashRecorder, CrashTable
from wagtailbay.quarantine.const import (
    CLEANUP_DELAY_S,
    CRASH_PREFIX,
    CRASH_RECORDS_KEY,
    QUARANTINE_TERM_S,
    WRITER_STAGGER_S,
)
from wagtailbay.replica import Replica
from wagtailbay.store import StoredObject, StorePosition
from wagtailbay_bench.memory_store import MemoryStore

UNIX_S = 1_700_000_000.0
CRASHING = "crashing"


class Vm:
    """One run of a VM with its crash table and recorder."""

    def __init__(self, store: MemoryStore, name: str = "vm-1", live: tuple[str, ...] = ()) -> None:
        self.store, self.replica = store, Replica()
        self.crashes = CrashTable(FactTable(name, 1))
        self.now_s = 0.0
        self.recorder = CrashRecorder(
            name,
            self.crashes,
            store,
            self.replica,
            lambda: list(live or (name,)),
            lambda: self.now_s,
            lambda: UNIX_S + self.now_s,
            random.Random(1),
        )

    async def run_at(self, now_s: float, *others: "Vm") -> None:
        """Replicate the store, merge the facts of other VMs and write what is due."""
        self.replicate(now_s, *others)
        await self.recorder.write_if_due(now_s)

    def replicate(self, now_s: float, *others: "Vm") -> None:
        """Replicate the store, and merge the facts of other VMs."""
        self.now_s = now_s
        self.replica.apply(tuple(self.store.objects.values()), self.store.revision)
        for other in others:
            self.crashes.facts.merge(other.crashes.facts.own(now_s))
        self.recorder.apply_replica(now_s)

    def crash(self, target: str, now_s: float, fingerprint: str = CRASHING) -> None:
        """Record a crash."""
        self.crashes.record_crash(fingerprint, target, "POST /x", now_s)


class TestRestartOfAllVms:
    """VMs that start after all were killed know the crashes of before."""

    async def test_quarantine_outlives_all_vms(self) -> None:
        """Guards against a crashing request that is let through again after each kill."""
        store = MemoryStore()
        first = Vm(store)
        first.crash("t1", 10.0)
        first.crash("t2", 13.0)
        await first.run_at(13.1)
        second = Vm(store)
        await second.run_at(20.0)
        assert second.crashes.is_refused(CRASHING, 20.0)
        assert second.crashes.is_refused(CRASHING, 13.0 + QUARANTINE_TERM_S - 1)
        assert not second.crashes.is_refused(CRASHING, 13.0 + QUARANTINE_TERM_S + 1)

    async def test_one_crash_in_each_run_adds_up(self) -> None:
        """Guards against a count that starts anew with each kill, also on one target."""
        store, crashed = MemoryStore(), 0
        for run in range(6):
            vm = Vm(store)
            await vm.run_at(run * 20.0)
            if vm.crashes.is_refused(CRASHING, run * 20.0):
                continue
            crashed += 1
            vm.crash("t1", run * 20.0 + 5)
            await vm.run_at(run * 20.0 + 5.1)
        assert crashed == 2

    async def test_answer_clears_a_stored_suspect(self) -> None:
        """Guards against a bystander that stays suspect because the store has its crash."""
        store = MemoryStore()
        first = Vm(store)
        first.crash("t1", 10.0, "bystander")
        await first.run_at(10.1)
        second = Vm(store)
        await second.run_at(20.0)
        assert second.crashes.is_suspect("bystander", 20.0)
        second.crashes.record_answer("bystander", 21.0)
        assert not second.crashes.is_suspect("bystander", 21.1)
        await second.run_at(21.2)
        await second.run_at(21.2 + CLEANUP_DELAY_S)
        third = Vm(store)
        await third.run_at(40.0)
        assert not third.crashes.is_suspect("bystander", 40.0)

    async def test_odd_record_does_not_hide_the_others(self) -> None:
        """Guards against an odd entry of another writer that makes all crashes unknown."""
        store = MemoryStore()
        first = Vm(store)
        first.crash("t1", 10.0)
        first.crash("t2", 13.0)
        await first.run_at(13.1)
        value = store.objects[CRASH_RECORDS_KEY].value
        value["requests"] |= {"odd": {"targets": 7}, "none": None}
        second = Vm(store)
        await second.run_at(20.0)
        assert second.crashes.is_refused(CRASHING, 20.0)
        for odd in (None, 3, [], {"requests": 4}):
            vm = Vm(MemoryStore())
            vm.replica.apply([StoredObject(CRASH_RECORDS_KEY, 5, odd)], 5)
            vm.recorder.apply_replica(1.0)
            assert not vm.crashes.is_refused(CRASHING, 1.0)


class TestStoreFaults:
    """The store gets what it lacks, whatever happened to an earlier write."""

    async def test_crash_during_an_outage_is_stored_afterwards(self) -> None:
        """Guards against a crash that is forgotten because the store was away."""
        store = MemoryStore(down=True)
        vm = Vm(store)
        vm.crash("t1", 10.0)
        await vm.run_at(10.1)
        store.down = False
        await vm.run_at(10.1 + WRITER_STAGGER_S)
        assert CRASH_RECORDS_KEY in store.objects

    async def test_lost_answer_does_not_lose_or_double_the_count(self) -> None:
        """Guards against a count that grows by writing it again."""
        store = MemoryStore(lose_answers=1)
        vm = Vm(store)
        vm.crash("t1", 10.0)
        for step in range(4):
            await vm.run_at(10.1 + step * WRITER_STAGGER_S)
        stored = store.objects[CRASH_RECORDS_KEY].value["requests"]
        assert list(stored[CRASHING]["targets"]) == ["t1"]
        assert store.calls["put"] <= 2

    async def test_object_that_was_removed_is_written_again(self) -> None:
        """Guards against counts that the store lost and nobody writes again."""
        store = MemoryStore()
        vm = Vm(store)
        vm.crash("t1", 10.0)
        await vm.run_at(10.1)
        store.revision += 1
        store.objects[CRASH_RECORDS_KEY] = StoredObject(CRASH_RECORDS_KEY, store.revision, None)
        await vm.run_at(11.0)
        assert store.version(CRASH_RECORDS_KEY)


class TestRestoredStore:
    """Counts that the store lost by coming back from an older copy are written again."""

    @pytest.mark.parametrize("copied_crashes", [0, 1])
    async def test_lost_counts_are_written_again(self, copied_crashes: int) -> None:
        """Guards against a crashing request that is let through after a drill and a restart.

        The replica's version of the lost object is higher than that of the store.
        """
        store = MemoryStore()
        vm = Vm(store)
        for number in range(2):
            if number == copied_crashes:
                copy = dict(store.objects)
            vm.crash(f"t{number}", 10.0 + number * 3)
            await vm.run_at(10.1 + number * 3)
        store.objects, store.revision = copy, StorePosition(2, 1).version
        listed = [
            StoredObject(o.key, StorePosition(2, o.version).version, o.value) for o in copy.values()
        ]
        store.objects = {stored.key: stored for stored in listed}
        vm.replica.replace_prefix(CRASH_PREFIX, listed, StorePosition(2, 1).version)
        for step in range(3):
            await vm.run_at(14.0 + step * WRITER_STAGGER_S)
        restarted = Vm(store)
        await restarted.run_at(30.0)
        assert restarted.crashes.is_refused(CRASHING, 30.0)


class TestWriters:
    """The fleet writes once, and another VM writes if the first cannot."""

    async def test_one_write_for_a_crash_seen_by_all_vms(self) -> None:
        """Guards against store calls that grow with the fleet."""
        names = ("vm-1", "vm-2", "vm-3", "vm-4")
        store = MemoryStore()
        vms = [Vm(store, name, names) for name in names]
        for vm in vms:
            vm.crash("t1", 10.0)
        for step in range(40):
            for vm in vms:
                await vm.run_at(10.1 + step * 0.1, *vms)
        assert store.calls["put"] == 1

    async def test_one_write_removes_cleared_requests(self) -> None:
        """Guards against writes of all VMs at the same moment after an answer."""
        names = ("vm-1", "vm-2", "vm-3", "vm-4")
        store = MemoryStore()
        vms = [Vm(store, name, names) for name in names]
        vms[0].crash("t1", 10.0)
        for step in range(20):
            for vm in vms:
                await vm.run_at(10.1 + step * 0.1, *vms)
        vms[0].crashes.record_answer(CRASHING, 13.0)
        for step in range(200):
            for vm in vms:
                vm.replicate(13.1 + step * 0.1, *vms)
            for vm in vms:
                await vm.recorder.write_if_due(13.1 + step * 0.1)
        assert store.calls["put"] == 2
        assert store.objects[CRASH_RECORDS_KEY].value["requests"] == {}

    async def test_crash_is_stored_without_the_first_writer(self) -> None:
        """Guards against a crash that nobody stores while the first VM in the order is gone."""
        names = ("vm-1", "vm-2", "vm-3", "vm-4")
        for gone in names:
            store = MemoryStore()
            vms = [Vm(store, name, names) for name in names if name != gone]
            vms[0].crash("t1", 10.0)
            for step in range(15):
                for vm in vms:
                    await vm.run_at(10.1 + step * 0.1, *vms)
            assert store.calls["put"] == 1, gone

    async def test_concurrent_writers_keep_both_crashes(self) -> None:
        """Guards against a writer that overwrites the crashes of a part that it cannot hear."""
        store = MemoryStore()
        one, other = Vm(store, "vm-1"), Vm(store, "vm-2")
        one.crash("t1", 10.0)
        other.crash("t2", 10.0)
        await one.run_at(10.1)
        # The second VM has not replicated the first write yet.
        other.now_s = 10.1
        await other.recorder.write_if_due(10.1)
        await trio.lowlevel.checkpoint()
        await other.run_at(10.1 + 2 * WRITER_STAGGER_S)
        third = Vm(store, "vm-3")
        await third.run_at(20.0)
        assert third.crashes.is_refused(CRASHING, 20.0)
