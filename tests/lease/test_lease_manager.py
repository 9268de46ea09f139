"""Tests of the lease manager."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from membership.factories import identity
from result import Err, Ok, Result

from wagtailbay.lease import LeaseManager, LeaseRecord
from wagtailbay.lease.const import LEASE_KEY
from wagtailbay.lease.models import parse_record
from wagtailbay.store import OutcomeUnknown, StoredObject, StoreUnavailable, VersionConflict

REQUEST_LOST, RESPONSE_LOST, UNAVAILABLE = "lost before", "lost after", "down"


@define
class FakeStore:
    """Store of one object.

    Attributes:
        faults: Faults of the next writes, one per write.
        before_read: Called before each read.
    """

    version: int = 0
    value: Any = None
    faults: list[str] = field(factory=list)
    before_read: Callable[[], None] = lambda: None

    async def put(self, key: str, value: Any, expected_version: int | None) -> Result:
        """Write the object if its version is the expected one."""
        fault = self.faults.pop(0) if self.faults else ""
        if fault == UNAVAILABLE:
            return Err(StoreUnavailable("down"))
        if fault == REQUEST_LOST:
            return Err(OutcomeUnknown(key, "no answer"))
        if expected_version != self.version:
            return Err(VersionConflict(key, self.version))
        self.version, self.value = self.version + 1, value
        return Err(OutcomeUnknown(key, "no answer")) if fault == RESPONSE_LOST else Ok(self.version)

    async def get(self, key: str) -> Result:
        """Read the object."""
        self.before_read()
        return Ok(self.stored())

    def stored(self) -> StoredObject | None:
        """Return the object, or None if it was never written."""
        return StoredObject(LEASE_KEY, self.version, self.value) if self.version else None


@define
class LeaseSimulation:
    """Runs the lease managers of several VMs on one clock.

    Attributes:
        confirmed_age_ms: Time since each VM's replica was last confirmed.
        paused: Indexes of the managers that do not run.
    """

    store: FakeStore
    now_s: float = 0.0
    confirmed_age_ms: float | None = 0.0
    managers: list[LeaseManager] = field(factory=list)
    paused: set[int] = field(factory=set)

    def add(self, vm: str) -> LeaseManager:
        """Add a VM, ranked after those added before."""
        rank = len(self.managers)
        manager = LeaseManager(
            store=self.store,
            identity=identity(vm),
            stored=self.store.stored,
            confirmed_age_ms=lambda now_s: self.confirmed_age_ms,
            rank=lambda now_s: rank,
            clock=lambda: self.now_s,
        )
        self.managers.append(manager)
        return manager

    async def run(self, seconds: float) -> list[str]:
        """Advance the clock and return the successive holders; fail if two VMs hold the lease."""
        successive_holders: list[str] = []
        for _ in range(round(seconds / 0.25)):
            for index, manager in enumerate(self.managers):
                if index not in self.paused:
                    await manager.tick()
            holders = [m.identity.vm for m in self.managers if m.is_holder(self.now_s)]
            assert len(holders) <= 1, f"{holders} at {self.now_s} s"
            successive_holders += [vm for vm in holders if successive_holders[-1:] != [vm]]
            self.now_s += 0.25
        return successive_holders


class TestLeaseManager:
    """Test that one VM at a time holds the lease through faults of the store and of VMs."""

    async def test_first_candidate_acquires_and_keeps_the_lease(self) -> None:
        """Guards against a lease that moves to another VM while its holder is healthy."""
        simulation = LeaseSimulation(FakeStore())
        for vm in ("a", "b", "c"):
            simulation.add(vm)
        assert await simulation.run(30) == ["a"]
        assert simulation.managers[0].term == 1

    async def test_crashed_holder_is_replaced_within_12_s(self) -> None:
        """Guards against a fleet that stays without a lease holder after the holder crashes.

        Another VM must acquire the lease within 12 s.
        """
        simulation = LeaseSimulation(FakeStore())
        simulation.add("a")
        simulation.add("b")
        assert await simulation.run(4) == ["a"]
        simulation.paused.add(0)
        assert await simulation.run(12) == ["a", "b"]
        assert simulation.managers[1].term == 2

    async def test_paused_holder_notices_the_lost_lease(self) -> None:
        """Guards against two holders after a process was paused past its lease.

        The paused process must not hold the lease when it resumes.
        """
        simulation = LeaseSimulation(FakeStore())
        simulation.add("a")
        simulation.add("b")
        await simulation.run(4)
        simulation.paused.add(0)
        await simulation.run(12)
        simulation.paused.clear()
        assert not simulation.managers[0].is_holder(simulation.now_s)
        assert await simulation.run(10) == ["b"]

    async def test_unknown_write_outcome_is_resolved_by_reading(self) -> None:
        """Guards against no holder, or two, after writes with an unknown outcome.

        Exactly one VM must hold the lease after such writes.
        """
        for fault in (RESPONSE_LOST, REQUEST_LOST):
            simulation = LeaseSimulation(FakeStore(faults=[fault]))
            simulation.add("a")
            simulation.add("b")
            assert await simulation.run(20) == ["a"]
            simulation.store.faults[:] = [fault, UNAVAILABLE, fault]
            assert await simulation.run(20) == ["a"]

    async def test_hold_starts_when_the_write_is_sent(self) -> None:
        """Guards against a slow read after a lost answer that extends the lease.

        Other VMs measure the lease from when the write took effect, so a lease measured from the
        read could overlap with that of the next holder.
        """
        simulation = LeaseSimulation(FakeStore(faults=[RESPONSE_LOST]))
        manager = simulation.add("a")

        def wait() -> None:
            simulation.now_s += 4.0

        simulation.store.before_read = wait
        await manager.tick()
        assert manager.is_holder(4.5)
        assert not manager.is_holder(5.5)

    async def test_equal_ranks_elect_one_holder(self) -> None:
        """Guards against no holder, or two, when candidates have equal ranks.

        VMs with different rosters can compute equal ranks.
        """
        simulation = LeaseSimulation(FakeStore())
        for vm in ("a", "b"):
            simulation.add(vm).rank = lambda now_s: 0
        assert await simulation.run(20) == ["a"]

    async def test_no_takeover_during_a_store_outage(self) -> None:
        """Guards against a takeover that counts time without contact to the store.

        After such an outage, the other VM must wait its full time before it takes over.
        """
        simulation = LeaseSimulation(FakeStore())
        simulation.add("a")
        simulation.add("b")
        await simulation.run(2)
        simulation.confirmed_age_ms, simulation.store.faults = 9_000.0, [UNAVAILABLE] * 10_000
        assert await simulation.run(60) == ["a"]
        simulation.confirmed_age_ms, simulation.store.faults = 0.0, []
        simulation.paused.add(0)
        assert await simulation.run(3) == []
        assert await simulation.run(6) == ["b"]

    async def test_holder_resumes_after_a_store_outage(self) -> None:
        """Guards against a takeover or a pause after a store outage.

        The holder must keep its lease after the outage.
        """
        simulation = LeaseSimulation(FakeStore())
        simulation.add("a")
        simulation.add("b")
        await simulation.run(2)
        simulation.confirmed_age_ms, simulation.store.faults = 9_000.0, [UNAVAILABLE] * 10_000
        await simulation.run(60)
        assert not simulation.managers[0].is_holder(simulation.now_s)
        simulation.confirmed_age_ms, simulation.store.faults = 0.0, []
        assert await simulation.run(0.5) == ["a"]

    async def test_released_lease_is_acquired_at_once(self) -> None:
        """Guards against a planned stop that leaves the fleet without a holder for 6 s."""
        simulation = LeaseSimulation(FakeStore())
        simulation.add("a").rank = lambda now_s: 0
        simulation.add("b").rank = lambda now_s: 0
        await simulation.run(4)
        await simulation.managers[0].release()
        assert not simulation.managers[0].is_holder(simulation.now_s)
        assert await simulation.run(1) == ["b"]


class TestLeaseRecord:
    """Test that any stored value is read without an exception."""

    def test_malformed_value_yields_no_record(self) -> None:
        """Guards against an exception in the lease manager after the lease object was edited."""
        good = LeaseRecord("a", 1, 2, "m")
        assert parse_record(good.as_json()) == good
        for value in (None, 3, [], {}, good.as_json() | {"term": "2"}, {"vm": "a"}):
            assert parse_record(value) is None

    async def test_malformed_lease_object_is_replaced(self) -> None:
        """Guards against a malformed lease object that blocks the election."""
        simulation = LeaseSimulation(FakeStore(version=3, value="damaged"))
        simulation.add("a")
        assert await simulation.run(8) == ["a"]
