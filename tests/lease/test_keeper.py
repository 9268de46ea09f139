"""Test that at most one VM holds the lease on the control duties."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from membership.factories import identity
from result import Err, Ok, Result

from wagtailbay.lease import LeaseKeeper, LeaseRecord
from wagtailbay.lease.const import LEASE_KEY
from wagtailbay.lease.models import read_record
from wagtailbay.store import OutcomeUnknown, StoredObject, StoreUnavailable, VersionConflict

LOST_BEFORE, LOST_AFTER, DOWN = "lost before", "lost after", "down"


@define
class FakeStore:
    """Hold one object; faults name what happens to the next writes."""

    version: int = 0
    value: Any = None
    faults: list[str] = field(factory=list)
    before_read: Callable[[], None] = lambda: None

    async def put(self, key: str, value: Any, expected_version: int | None) -> Result:
        """Write if the version is as expected."""
        fault = self.faults.pop(0) if self.faults else ""
        if fault == DOWN:
            return Err(StoreUnavailable("down"))
        if fault == LOST_BEFORE:
            return Err(OutcomeUnknown(key, "no answer"))
        if expected_version != self.version:
            return Err(VersionConflict(key, self.version))
        self.version, self.value = self.version + 1, value
        return Err(OutcomeUnknown(key, "no answer")) if fault == LOST_AFTER else Ok(self.version)

    async def get(self, key: str) -> Result:
        """Read the object."""
        self.before_read()
        return Ok(self.stored())

    def stored(self) -> StoredObject | None:
        """Return the object."""
        return StoredObject(LEASE_KEY, self.version, self.value) if self.version else None


@define
class Contest:
    """Run keepers of several VMs on one clock, each with its rank in the order given."""

    store: FakeStore
    now_s: float = 0.0
    age_ms: float | None = 0.0
    keepers: list[LeaseKeeper] = field(factory=list)
    paused: set[int] = field(factory=set)

    def add(self, vm: str) -> LeaseKeeper:
        """Add a VM with the next rank."""
        rank = len(self.keepers)
        keeper = LeaseKeeper(
            store=self.store,
            identity=identity(vm),
            stored=self.store.stored,
            confirmed_age_ms=lambda now_s: self.age_ms,
            rank=lambda now_s: rank,
            clock=lambda: self.now_s,
        )
        self.keepers.append(keeper)
        return keeper

    async def run(self, seconds: float) -> list[str]:
        """Let time pass; returns the holders in their order, each checked to be the only one."""
        seen: list[str] = []
        for _ in range(round(seconds / 0.25)):
            for place, keeper in enumerate(self.keepers):
                if place not in self.paused:
                    await keeper.tick()
            holders = [k.identity.vm for k in self.keepers if k.is_holder(self.now_s)]
            assert len(holders) <= 1, f"{holders} at {self.now_s} s"
            seen += [vm for vm in holders if seen[-1:] != [vm]]
            self.now_s += 0.25
        return seen


class TestLeaseKeeper:
    """One VM holds the lease, through faults of the store and of the VMs."""

    async def test_the_first_contender_takes_and_keeps_it(self) -> None:
        """Guards against a lease that moves without cause."""
        contest = Contest(FakeStore())
        for vm in ("a", "b", "c"):
            contest.add(vm)
        assert await contest.run(30) == ["a"]
        assert contest.keepers[0].term == 1

    async def test_a_dead_holder_is_replaced_within_12_s(self) -> None:
        """Guards against control duties that end with one VM."""
        contest = Contest(FakeStore())
        contest.add("a")
        contest.add("b")
        assert await contest.run(4) == ["a"]
        contest.paused.add(0)
        assert await contest.run(12) == ["a", "b"]
        assert contest.keepers[1].term == 2

    async def test_a_paused_holder_knows_that_it_lost_the_lease(self) -> None:
        """Guards against two holders after a process was stopped for a while."""
        contest = Contest(FakeStore())
        contest.add("a")
        contest.add("b")
        await contest.run(4)
        contest.paused.add(0)
        await contest.run(12)
        contest.paused.clear()
        assert not contest.keepers[0].is_holder(contest.now_s)
        assert await contest.run(10) == ["b"]

    async def test_a_lost_answer_is_read_back(self) -> None:
        """Guards against a lease that nobody holds or two do after an unknown outcome."""
        for fault in (LOST_AFTER, LOST_BEFORE):
            contest = Contest(FakeStore(faults=[fault]))
            contest.add("a")
            contest.add("b")
            assert await contest.run(20) == ["a"]
            contest.store.faults[:] = [fault, DOWN, fault]
            assert await contest.run(20) == ["a"]

    async def test_a_hold_counts_from_the_write_and_not_from_the_late_read(self) -> None:
        """Guards against a holder that trusts a write longer than the others wait."""
        contest = Contest(FakeStore(faults=[LOST_AFTER]))
        keeper = contest.add("a")

        def wait() -> None:
            contest.now_s += 4.0

        contest.store.before_read = wait
        await keeper.tick()
        assert keeper.is_holder(4.5)
        assert not keeper.is_holder(5.5)

    async def test_two_contenders_with_the_same_rank(self) -> None:
        """Guards against two VMs with different rosters that both take the lease."""
        contest = Contest(FakeStore())
        for vm in ("a", "b"):
            contest.add(vm).rank = lambda now_s: 0
        assert await contest.run(20) == ["a"]

    async def test_nobody_takes_it_while_the_store_is_unknown(self) -> None:
        """Guards against a takeover that counts time in which the holder could not write."""
        contest = Contest(FakeStore())
        contest.add("a")
        contest.add("b")
        await contest.run(2)
        contest.age_ms, contest.store.faults = 9_000.0, [DOWN] * 10_000
        assert await contest.run(60) == ["a"]
        contest.age_ms, contest.store.faults = 0.0, []
        contest.paused.add(0)
        assert await contest.run(3) == []
        assert await contest.run(6) == ["b"]

    async def test_the_holder_goes_on_after_an_outage(self) -> None:
        """Guards against control duties that change hands or pause after each outage."""
        contest = Contest(FakeStore())
        contest.add("a")
        contest.add("b")
        await contest.run(2)
        contest.age_ms, contest.store.faults = 9_000.0, [DOWN] * 10_000
        await contest.run(60)
        assert not contest.keepers[0].is_holder(contest.now_s)
        contest.age_ms, contest.store.faults = 0.0, []
        assert await contest.run(0.5) == ["a"]

    async def test_a_released_lease_is_taken_at_once(self) -> None:
        """Guards against 6 s without control duties at each planned stop."""
        contest = Contest(FakeStore())
        contest.add("a").rank = lambda now_s: 0
        contest.add("b").rank = lambda now_s: 0
        await contest.run(4)
        await contest.keepers[0].release()
        assert not contest.keepers[0].is_holder(contest.now_s)
        assert await contest.run(1) == ["b"]


class TestLeaseRecord:
    """A stored value of any form is read without an exception."""

    def test_malformed_values_hold_no_record(self) -> None:
        """Guards against an edited lease object that ends the keeper."""
        good = LeaseRecord("a", 1, 2, "m")
        assert read_record(good.as_json()) == good
        for value in (None, 3, [], {}, good.as_json() | {"term": "2"}, {"vm": "a"}):
            assert read_record(value) is None

    async def test_a_malformed_lease_object_is_replaced(self) -> None:
        """Guards against control duties that stop for good."""
        contest = Contest(FakeStore(version=3, value="damaged"))
        contest.add("a")
        assert await contest.run(8) == ["a"]
