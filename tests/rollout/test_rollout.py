"""Test rollouts: the share of a new version, its judgement and its end."""

import random

from attrs import evolve
from result import Err, Ok
from support.gateway import stored

from wagtailbay.membership import FactTable, lay_out
from wagtailbay.placement import TargetOutcome
from wagtailbay.replica import from_value, to_value
from wagtailbay.rollout import (
    RolloutKeeper,
    RolloutOrder,
    RolloutPhase,
    RolloutTraffic,
)
from wagtailbay.rollout.judge import RouteTally, find_fault
from wagtailbay.store import StoreUnavailable

ORDER = RolloutOrder("records", "v2", 16.0, 5)


def traffic_of(order: RolloutOrder = ORDER, now_s: float = 0.0, seed: int = 1) -> RolloutTraffic:
    """Return the traffic of a VM that knows an order."""
    traffic = RolloutTraffic(random.Random(seed))
    traffic.take_in(stored("rollouts/", "records", 1, to_value(order)), now_s)
    return traffic


class Fleet:
    """Run the keepers of some VMs on one clock; facts reach all at once."""

    def __init__(self, vms: int = 3) -> None:
        self.now_s = 0.0
        self.written: list[RolloutPhase] = []
        self.store_is_down = False
        self.names = [f"vm-{number}" for number in range(vms)]
        self.keepers = [self._keeper(name) for name in self.names]

    def _keeper(self, name: str) -> RolloutKeeper:
        return RolloutKeeper(
            name,
            FactTable(name, 1),
            traffic_of(),
            lambda: self.names,
            self._write,
            lambda: self.now_s,
            random.Random(1),
        )

    async def _write(self, order: RolloutOrder, phase: RolloutPhase):
        if self.store_is_down:
            return Err(StoreUnavailable("down"))
        self.written.append(phase)
        for keeper in self.keepers:
            progress = keeper.traffic.progress["records"]
            progress.order = evolve(progress.order, phase=phase)
        return Ok(None)

    async def run(
        self, seconds: float, answer=lambda version, now_s: TargetOutcome.ANSWERED
    ) -> dict:
        """Serve 100 requests a second at each VM; returns requests by version."""
        counts = {"v1": 0, "v2": 0}
        for _ in range(round(seconds * 100)):
            self.now_s = round(self.now_s + 0.01, 4)
            for keeper in self.keepers:
                picked = keeper.traffic.pick("records", self.now_s)
                version = "v2" if picked.include else "v1"
                counts[version] += 1
                sign = answer(version, self.now_s)
                keeper.traffic.start("records", version)
                keeper.traffic.finish("records", "r", version, sign, True, self.now_s)
            if round(self.now_s * 100) % 25 == 0:
                await self.tick()
        return counts

    async def tick(self) -> None:
        """Let all keepers look at their orders."""
        for keeper in self.keepers:
            for other in self.keepers:
                if other is not keeper:
                    keeper.facts.merge(other.facts.facts.values())
            progress = keeper.traffic.progress["records"]
            if not progress.order.ended:
                await keeper.tick(progress)


class TestGoodVersion:
    """Finish in time."""

    async def test_all_traffic_has_moved_before_the_end_is_written(self):
        """Guards against requests that are cut when the old targets stop."""
        fleet = Fleet()
        await fleet.run(16)
        assert fleet.written == [RolloutPhase.RUNNING, RolloutPhase.COMPLETE]
        assert fleet.now_s <= 16
        assert set((await fleet.run(1)).items()) == {("v1", 0), ("v2", 300)}

    async def test_request_on_the_old_version_delays_the_end(self):
        """Guards against an end that is written while the old version still works."""
        fleet = Fleet()
        progress = fleet.keepers[1].traffic.progress["records"]
        progress.old_in_flight = 1
        await fleet.run(14)
        assert fleet.written == [RolloutPhase.RUNNING]
        keeper = fleet.keepers[1].traffic
        keeper.finish("records", "r", "v1", TargetOutcome.ANSWERED, True, fleet.now_s)
        await fleet.run(1)
        assert fleet.written[-1] is RolloutPhase.COMPLETE

    async def test_writer_without_store_is_replaced(self):
        """Guards against a rollout that ends only if one VM can write."""
        fleet = Fleet()
        fleet.store_is_down = True
        await fleet.run(15)
        assert fleet.written == []
        fleet.store_is_down = False
        await fleet.run(1)
        assert RolloutPhase.COMPLETE in fleet.written

    async def test_restarted_vm_learns_how_old_the_order_is(self):
        """Guards against an order that begins anew when a VM restarts."""
        fleet = Fleet()
        await fleet.run(12)
        fresh = fleet.keepers[0].traffic.progress["records"]
        fresh.known_since_s = fleet.now_s
        await fleet.tick()
        assert fresh.age_s(fleet.now_s) > 11


class TestLargeFleet:
    """Evidence of many VMs does not fill their time."""

    async def test_only_bad_answers_and_the_end_are_told_at_once(self):
        """Guards against four calls a second to each peer while a version is fine."""
        fleet = Fleet(1)
        keeper = fleet.keepers[0]
        zones = {f"vm-{number}": f"z{number % 3}" for number in range(30)}
        keeper.layout = keeper.fold.layout = lambda: lay_out(zones, zones)
        urgent = []
        keeper.facts.changed.followers.append(lambda: urgent.append(fleet.now_s))
        await fleet.run(10)
        calm = len(urgent)
        assert calm <= 1
        await fleet.run(
            1, lambda version, now_s: TargetOutcome[("FAILED", "ANSWERED")[version == "v1"]]
        )
        assert len(urgent) > calm


class TestBadVersion:
    """Go back soon."""

    def exposure(self, total: int) -> float:
        """Return how many requests a bad version may get."""
        return 0.1 * total + 50

    async def test_half_of_the_answers_bad(self):
        """Guards against a bad version that keeps its traffic."""
        fleet, source = Fleet(), random.Random(2)

        def answer(version, now_s):
            bad = version == "v2" and source.random() < 0.5
            return TargetOutcome.FAILED if bad else TargetOutcome.ANSWERED

        counts = await fleet.run(16, answer)
        assert fleet.written[-1] is RolloutPhase.ROLLED_BACK
        assert counts["v2"] <= self.exposure(sum(counts.values())) / 4
        assert (await fleet.run(1))["v2"] == 0

    async def test_version_that_becomes_bad_in_the_ramp(self):
        """Guards against a good past that hides a late fault."""
        fleet = Fleet()

        def answer(version, now_s):
            late = version == "v2" and now_s > 10
            return TargetOutcome.TIMED_OUT if late else TargetOutcome.ANSWERED

        counts = await fleet.run(16, answer)
        assert fleet.written[-1] is RolloutPhase.ROLLED_BACK
        assert counts["v2"] <= self.exposure(sum(counts.values()))

    async def test_verdict_holds_while_the_store_is_down(self):
        """Guards against a bad version that gets traffic until the store returns."""
        fleet = Fleet()
        fleet.store_is_down = True
        await fleet.run(
            6, lambda version, now_s: TargetOutcome[("FAILED", "ANSWERED")[version == "v1"]]
        )
        assert fleet.written == []
        assert (await fleet.run(2))["v2"] == 0

    async def test_trouble_of_both_versions_proves_nothing(self):
        """Guards against a good version that is taken back because the service is overloaded."""
        fleet, source = Fleet(), random.Random(3)

        def answer(version, now_s):
            return TargetOutcome.TIMED_OUT if source.random() < 0.2 else TargetOutcome.ANSWERED

        await fleet.run(16, answer)
        assert fleet.written[-1] is RolloutPhase.COMPLETE


class TestJudge:
    """Compare versions by route."""

    def test_fault_on_one_route_is_found(self):
        """Guards against a version that fails on one route only."""
        counts = {"a": (500.0, 1.0, 50.0, 0.0), "b": (100.0, 0.0, 8.0, 6.0)}
        assert "on b" in find_fault(counts)

    def test_few_bad_answers_are_not_enough(self):
        """Guards against a rollback for a single failure."""
        assert find_fault({"a": (0.0, 0.0, 3.0, 3.0)}) is None
        assert find_fault({}) is None

    def test_past_fades(self):
        """Guards against a fault that is diluted by a good past."""
        tally = RouteTally()
        for _ in range(100):
            tally.record(True, False, 0.0)
        assert tally.counts(20.0)[2] < 5


class TestOrders:
    """Follow the orders of the operator."""

    def test_codec_round_trip(self):
        """Guards against an order that other VMs do not understand."""
        assert from_value(to_value(ORDER), RolloutOrder) == Ok(ORDER)
        assert isinstance(from_value({"service": 1}, RolloutOrder), Err)

    def test_new_order_for_the_same_service_begins_anew(self):
        """Guards against the end of an earlier order that holds for the next one."""
        traffic = traffic_of(evolve(ORDER, phase=RolloutPhase.COMPLETE))
        later = evolve(ORDER, target_version="v3", created_revision=9)
        traffic.take_in(stored("rollouts/", "records", 9, to_value(later)), 5.0)
        assert traffic.progress["records"].share(5.2) == 0.0
        assert traffic.progress["records"].share(8.0) > 0

    def test_rolled_back_version_gets_nothing(self):
        """Guards against traffic for a version that was taken back."""
        traffic = traffic_of(evolve(ORDER, phase=RolloutPhase.ROLLED_BACK))
        assert not any(traffic.pick("records", t / 10).include for t in range(300))
