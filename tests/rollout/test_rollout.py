"""Test rollouts: traffic split, failure detection and completion."""

import random

import pytest
from attrs import evolve
from result import Err, Ok
from support.gateway import make_objects

from wagtailbay.membership import FactTable, build_layout
from wagtailbay.placement import TargetOutcome
from wagtailbay.replica import from_value, to_value
from wagtailbay.rollout import (
    RolloutController,
    RolloutOrder,
    RolloutPhase,
    VersionSplitter,
)
from wagtailbay.rollout.failure_detector import RouteCounter, find_failure_reason
from wagtailbay.store import StorePosition, StoreUnavailable

ORDER = RolloutOrder("records", "v2", 16.0, 5)


def create_splitter(
    order: RolloutOrder = ORDER, now_s: float = 0.0, seed: int = 1
) -> VersionSplitter:
    """Return the splitter of a VM that knows an order."""
    splitter = VersionSplitter(random.Random(seed))
    splitter.apply_objects(make_objects("rollouts/", "records", 1, to_value(order)), now_s)
    return splitter


class Fleet:
    """Controllers of several VMs on one clock; facts reach all VMs immediately."""

    def __init__(self, vms: int = 3) -> None:
        self.now_s = 0.0
        self.written: list[RolloutPhase] = []
        self.store_is_down = False
        self.names = [f"vm-{number}" for number in range(vms)]
        self.controllers = [self._create_controller(name) for name in self.names]

    def _create_controller(self, name: str) -> RolloutController:
        return RolloutController(
            name,
            FactTable(name, 1),
            create_splitter(),
            lambda: self.names,
            self._write,
            lambda: self.now_s,
            random.Random(1),
        )

    async def _write(self, order: RolloutOrder, phase: RolloutPhase):
        if self.store_is_down:
            return Err(StoreUnavailable("down"))
        self.written.append(phase)
        for controller in self.controllers:
            progress = controller.splitter.progress["records"]
            progress.order = evolve(progress.order, phase=phase)
        return Ok(None)

    async def run(
        self, seconds: float, answer=lambda version, now_s: TargetOutcome.ANSWERED
    ) -> dict:
        """Serve 100 requests per second at each VM; return the number of requests by version."""
        counts = {"v1": 0, "v2": 0}
        for _ in range(round(seconds * 100)):
            self.now_s = round(self.now_s + 0.01, 4)
            for controller in self.controllers:
                picked = controller.splitter.pick_version("records", self.now_s)
                version = "v2" if picked.include else "v1"
                counts[version] += 1
                outcome = answer(version, self.now_s)
                controller.splitter.record_start("records", version)
                controller.splitter.record_finish(
                    "records", "r", version, outcome, True, self.now_s
                )
            if round(self.now_s * 100) % 25 == 0:
                await self.reconcile()
        return counts

    async def reconcile(self) -> None:
        """Exchange facts and reconcile the active orders on all VMs."""
        for controller in self.controllers:
            for other in self.controllers:
                if other is not controller:
                    controller.facts.merge(other.facts.facts.values())
            progress = controller.splitter.progress["records"]
            if not progress.order.ended or progress.lost_phase is not None:
                await controller.reconcile(progress)


class TestGoodVersion:
    """A good version receives all traffic before the deadline."""

    async def test_all_traffic_has_moved_before_completion_is_written(self):
        """Guards against requests on old targets that are aborted after the rollout completes."""
        fleet = Fleet()
        await fleet.run(16)
        assert fleet.written == [RolloutPhase.RUNNING, RolloutPhase.COMPLETE]
        assert fleet.now_s <= 16
        assert set((await fleet.run(1)).items()) == {("v1", 0), ("v2", 300)}

    async def test_request_on_the_old_version_delays_completion(self):
        """Guards against completing a rollout while the old version still serves requests."""
        fleet = Fleet()
        progress = fleet.controllers[1].splitter.progress["records"]
        progress.old_in_flight = 1
        await fleet.run(14)
        assert fleet.written == [RolloutPhase.RUNNING]
        splitter = fleet.controllers[1].splitter
        splitter.record_finish("records", "r", "v1", TargetOutcome.ANSWERED, True, fleet.now_s)
        await fleet.run(1)
        assert fleet.written[-1] is RolloutPhase.COMPLETE

    async def test_completion_is_written_after_the_store_recovers(self):
        """Guards against a rollout that stays incomplete after a store outage."""
        fleet = Fleet()
        fleet.store_is_down = True
        await fleet.run(15)
        assert fleet.written == []
        fleet.store_is_down = False
        await fleet.run(1)
        assert RolloutPhase.COMPLETE in fleet.written

    async def test_restarted_vm_learns_the_age_of_the_order(self):
        """Guards against restarting the ramp of an order when a VM restarts."""
        fleet = Fleet()
        await fleet.run(12)
        fresh = fleet.controllers[0].splitter.progress["records"]
        fresh.order_started_s = fleet.now_s
        await fleet.reconcile()
        assert fresh.age_s(fleet.now_s) > 11


class TestLargeFleet:
    """The exchange of evidence is limited in a large fleet."""

    async def test_only_failures_and_completion_are_published_at_once(self):
        """Guards against four calls per second to each peer while the version is healthy."""
        fleet = Fleet(1)
        controller = fleet.controllers[0]
        zones = {f"vm-{number}": f"z{number % 3}" for number in range(30)}
        controller.layout = controller.aggregator.layout = lambda: build_layout(zones, zones)
        urgent = []
        controller.facts.changed.callbacks.append(lambda: urgent.append(fleet.now_s))
        await fleet.run(10)
        quiet_count = len(urgent)
        assert quiet_count <= 1
        await fleet.run(
            1, lambda version, now_s: TargetOutcome[("FAILED", "ANSWERED")[version == "v1"]]
        )
        assert len(urgent) > quiet_count


class TestBadVersion:
    """A failing version is rolled back before it receives too much traffic."""

    def max_bad_version_requests(self, total: int) -> float:
        """Return the maximum number of requests that a bad version may receive."""
        return 0.1 * total + 50

    async def test_version_that_fails_half_of_its_requests(self):
        """Guards against a failing version that keeps its traffic."""
        fleet, rng = Fleet(), random.Random(2)

        def answer(version, now_s):
            failed = version == "v2" and rng.random() < 0.5
            return TargetOutcome.FAILED if failed else TargetOutcome.ANSWERED

        counts = await fleet.run(16, answer)
        assert fleet.written[-1] is RolloutPhase.ROLLED_BACK
        assert counts["v2"] <= self.max_bad_version_requests(sum(counts.values())) / 4
        assert (await fleet.run(1))["v2"] == 0

    async def test_version_that_starts_failing_during_the_ramp(self):
        """Guards against earlier successful answers that hide a late failure."""
        fleet = Fleet()

        def answer(version, now_s):
            late = version == "v2" and now_s > 10
            return TargetOutcome.TIMED_OUT if late else TargetOutcome.ANSWERED

        counts = await fleet.run(16, answer)
        assert fleet.written[-1] is RolloutPhase.ROLLED_BACK
        assert counts["v2"] <= self.max_bad_version_requests(sum(counts.values()))

    async def test_verdict_holds_while_the_store_is_down(self):
        """Guards against a failing version that receives traffic until the store recovers."""
        fleet = Fleet()
        fleet.store_is_down = True
        await fleet.run(
            6, lambda version, now_s: TargetOutcome[("FAILED", "ANSWERED")[version == "v1"]]
        )
        assert fleet.written == []
        assert (await fleet.run(2))["v2"] == 0

    async def test_failures_of_both_versions_do_not_roll_back(self):
        """Guards against a rollback caused by an overload that affects both versions."""
        fleet, rng = Fleet(), random.Random(3)

        def answer(version, now_s):
            return TargetOutcome.TIMED_OUT if rng.random() < 0.2 else TargetOutcome.ANSWERED

        await fleet.run(16, answer)
        assert fleet.written[-1] is RolloutPhase.COMPLETE


class TestFailureAnalysis:
    """Failure rates are compared for each route and over all routes."""

    def test_failures_on_one_route_are_detected(self):
        """Guards against missing a failure that affects a single route."""
        counts = {"a": (500.0, 1.0, 50.0, 0.0), "b": (100.0, 0.0, 8.0, 6.0)}
        assert "on b" in find_failure_reason(counts)

    def test_few_failures_are_not_enough(self):
        """Guards against a rollback for a few failures."""
        assert find_failure_reason({"a": (0.0, 0.0, 3.0, 3.0)}) is None
        assert find_failure_reason({}) is None

    def test_old_answers_decay(self):
        """Guards against a failure that is diluted by earlier successful answers."""
        counter = RouteCounter()
        for _ in range(100):
            counter.record(True, False, 0.0)
        assert counter.counts(20.0)[2] < 5


class TestOrders:
    """Orders are decoded and applied."""

    def test_codec_round_trip(self):
        """Guards against an order that cannot be decoded after replication."""
        assert from_value(to_value(ORDER), RolloutOrder) == Ok(ORDER)
        assert isinstance(from_value({"service": 1}, RolloutOrder), Err)

    def test_new_order_for_the_same_service_starts_over(self):
        """Guards against applying the final phase of an earlier order to the next one."""
        splitter = create_splitter(evolve(ORDER, phase=RolloutPhase.COMPLETE))
        later = evolve(ORDER, target_version="v3", created_revision=9)
        splitter.apply_objects(make_objects("rollouts/", "records", 9, to_value(later)), 5.0)
        assert splitter.progress["records"].share(5.2) == 0.0
        assert splitter.progress["records"].share(8.0) > 0

    def test_rolled_back_version_receives_no_requests(self):
        """Guards against sending traffic to a rolled-back version."""
        splitter = create_splitter(evolve(ORDER, phase=RolloutPhase.ROLLED_BACK))
        assert not any(splitter.pick_version("records", t / 10).include for t in range(300))


class TestRestoredStore:
    """An order that has ended does not run again when the store came back from an older copy."""

    @staticmethod
    def apply(splitter: VersionSplitter, order: RolloutOrder | None, revision: int) -> None:
        """Apply an order of the second era, None for its deletion, at 20 s."""
        version = StorePosition(2, revision).version
        value = None if order is None else to_value(order)
        splitter.apply_objects(make_objects("rollouts/", "records", version, value), 20.0)

    @pytest.mark.parametrize("is_written_again", [False, True])
    @pytest.mark.parametrize("phase", [RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK])
    async def test_ended_order_stays_ended_and_its_phase_is_written(self, phase, is_written_again):
        """Guards against a canary share beside targets that have been stopped."""
        fleet = Fleet()
        for controller in fleet.controllers:
            splitter = controller.splitter = create_splitter(evolve(ORDER, phase=phase))
            order = ORDER
            if is_written_again:
                self.apply(splitter, None, 3)
                order = evolve(ORDER, created_revision=4)
            self.apply(splitter, order, 4)
            share = splitter.progress["records"].share(25.0)
            assert share == (1.0 if phase is RolloutPhase.COMPLETE else 0.0)
        fleet.now_s = 25.0
        await fleet.reconcile()
        assert fleet.written[0] is phase
        written = evolve(order, phase=phase)
        for controller in fleet.controllers:
            self.apply(controller.splitter, written, 5)
            assert controller.splitter.progress["records"].lost_phase is None

    def test_running_order_that_is_written_again_goes_on(self):
        """Guards against a failing version that gets requests again after a restore."""
        splitter = create_splitter(evolve(ORDER, phase=RolloutPhase.RUNNING))
        progress = splitter.progress["records"]
        progress.failure_reason = "failures"
        self.apply(splitter, evolve(ORDER, created_revision=4), 4)
        assert splitter.progress["records"] is progress
        assert progress.order.created_revision == 4
        assert progress.share(25.0) == 0.0

    def test_new_order_for_the_version_runs_later(self):
        """Guards against an order that never runs because one with its version was lost."""
        splitter = create_splitter(evolve(ORDER, phase=RolloutPhase.ROLLED_BACK))
        self.apply(splitter, None, 3)
        later = evolve(ORDER, created_revision=9)
        version = StorePosition(2, 9).version
        splitter.apply_objects(make_objects("rollouts/", "records", version, to_value(later)), 60.0)
        assert splitter.progress["records"].lost_phase is None
        assert splitter.progress["records"].share(64.0) > 0
