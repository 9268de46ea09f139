"""Tests of moves with several VMs, changes of the lease holder and store faults."""

import random
from typing import Any

import pytest
import trio
from attrs import define, evolve, field
from steering_fakes import (
    FAILED_REPORT,
    FLEET,
    OK_REPORT,
    PLAN,
    READ,
    FakeStore,
    FakeVmContext,
    service,
)

from wagtailbay.config import ConfigView
from wagtailbay.membership import FactTable
from wagtailbay.shift import MovePhase, ShiftController, UncappedVersions, build_shift_controller
from wagtailbay.shift.wire import decode_move
from wagtailbay.steer import AttemptReport

SERVICE = service(version_plan=PLAN)


@define
class Fleet:
    """Simulate the controllers of three VMs in steps of one second."""

    store: FakeStore = field(factory=FakeStore)
    vms: list[ShiftController] = field(factory=list)
    contexts: list[FakeVmContext] = field(factory=list)
    audit: list[tuple[str, dict]] = field(factory=list)
    now_s: float = 0.0
    new_count: int = 0
    total: int = 0

    def __attrs_post_init__(self) -> None:
        for number in range(3):
            context = FakeVmContext(holds_lease=number == 0)
            view = ConfigView(FLEET, {"records": SERVICE})
            controller = build_shift_controller(
                f"vm-{number}/1",
                self.store,
                self.store,
                FactTable(f"vm-{number}", 1),
                lambda view=view: view,
                context,
                context,
                UncappedVersions(),
                lambda event, details: self.audit.append((event, details)),
                context.clock,
                context.unix_clock,
                random.Random(number),
            )
            self.vms.append(controller)
            self.contexts.append(context)

    @property
    def state(self) -> Any:
        """Return the state of the move in the store."""
        return decode_move(self.store.value("moves/records")).ok_value

    def give_lease(self, number: int) -> None:
        """Move the lease to another VM."""
        for index, context in enumerate(self.contexts):
            context.holds_lease = index == number

    async def run_second(self, requests: int = 20, new: AttemptReport = OK_REPORT) -> None:
        """Serve requests on each VM, exchange facts and tick the controllers."""
        self.now_s += 1.0
        for controller, context in zip(self.vms, self.contexts, strict=True):
            context.now_s = context.contacted_at_s = self.now_s
            for _ in range(requests):
                version = controller.picker.pick(SERVICE, READ, self.now_s).version
                report = new if version == "v2" else OK_REPORT
                controller.picker.record(SERVICE, READ, version, report, self.now_s)
                self.total, self.new_count = self.total + 1, self.new_count + (version == "v2")
            controller.tick(self.now_s)
        for controller in self.vms:
            for other in self.vms:
                controller.stops.facts.merge(other.stops.facts.own(self.now_s))
        for controller, context in zip(self.vms, self.contexts, strict=True):
            if context.holds_lease:
                await controller.coordinator.tick()

    async def run(self, seconds: int, **arguments: Any) -> None:
        """Simulate some seconds."""
        for _ in range(seconds):
            await self.run_second(**arguments)


class TestMoveCoordinator:
    """Test that moves end despite changes of the lease holder and store faults."""

    async def test_good_move_finishes_and_is_audited(self) -> None:
        """Guards against a good move that misses its deadline or lacks audit events.

        The move must finish by its deadline with each change audited.
        """
        fleet = Fleet()
        await fleet.run(598, requests=10)
        assert fleet.state.phase is MovePhase.FINISHED
        events = [event for event, _ in fleet.audit]
        assert events == ["move_step"] * 6 + ["move_finished"]
        assert fleet.vms[2].picker.pick(SERVICE, READ, 598.0).version == "v2"

    async def test_new_holder_continues_the_move(self) -> None:
        """Guards against a new lease holder that restarts the move.

        It must continue the move instead.
        """
        fleet = Fleet()
        await fleet.run(250, requests=10)
        assert fleet.state.step == 2
        fleet.give_lease(1)
        await fleet.run(3)
        assert (fleet.state.step, fleet.state.generation) == (2, 2)
        assert fleet.audit[-1][0] == "move_taken_over"
        await fleet.run(344, requests=10)
        assert fleet.state.phase is MovePhase.FINISHED

    async def test_lost_answers_are_read_back(self) -> None:
        """Guards against steps without an audit event when the answer to the write is lost.

        The check fails if writes are not read back.
        """

        async def check(reads_back: bool) -> None:
            fleet = Fleet(FakeStore(lose_answers=True))
            fleet.vms[0].coordinator.reads_back = reads_back
            await fleet.run(120)
            assert fleet.state.step == 1
            assert [event for event, _ in fleet.audit] == ["move_step"] * 2

        await check(reads_back=True)
        with pytest.raises(AssertionError):
            await check(reads_back=False)

    async def test_lost_race_keeps_the_other_write(self) -> None:
        """Guards against a paused holder that overwrites a rollback by another VM."""
        fleet = Fleet()
        await fleet.run(100)
        ended = evolve(fleet.state, phase=MovePhase.ROLLED_BACK, mark="other")
        encoded = fleet.store.value("moves/records") | {"phase": "rolled_back", "mark": "other"}
        fleet.store.before_put = lambda: fleet.store.set("moves/records", encoded)
        await fleet.run(60)
        assert fleet.state == ended
        assert len(fleet.audit) == 1

    async def test_no_evidence_rolls_back_at_the_deadline(self) -> None:
        """Guards against a move that continues past its deadline without evidence.

        A move without requests to measure must be rolled back at the deadline.
        """
        fleet = Fleet()
        await fleet.run(602, requests=0)
        assert fleet.state.phase is MovePhase.ROLLED_BACK
        assert fleet.state.reason == (
            "deadline passed at 2%: waiting for evidence of the new version"
        )
        assert [e for e, _ in fleet.audit] == ["move_step", "move_waiting", "move_rolled_back"]

    async def test_bad_version_is_rolled_back(self) -> None:
        """Guards against a bad version that keeps its traffic.

        The check fails without the judge.
        """

        async def check(judge_enabled: bool) -> None:
            fleet = Fleet()
            for controller in fleet.vms:
                controller.judge_enabled = controller.coordinator.judge_enabled = judge_enabled
            await fleet.run(30, new=FAILED_REPORT)
            assert fleet.state.phase is MovePhase.ROLLED_BACK
            assert fleet.state.reason.startswith("the new version fails on")
            assert fleet.new_count <= 0.02 * fleet.total

        await check(judge_enabled=True)
        with pytest.raises(AssertionError):
            await check(judge_enabled=False)

    async def test_store_outage_does_not_delay_a_stop(self) -> None:
        """Guards against a bad version that keeps its traffic while the store is down."""
        fleet = Fleet()
        await fleet.run(5)
        fleet.store.unavailable = True
        await fleet.run(30, new=FAILED_REPORT)
        before = fleet.new_count
        await fleet.run(30)
        assert fleet.new_count == before
        assert fleet.state.phase is MovePhase.RUNNING
        fleet.store.unavailable = False
        await fleet.run(2)
        assert fleet.state.phase is MovePhase.ROLLED_BACK

    async def test_isolated_vm_stops_on_its_own_evidence(self) -> None:
        """Guards against a bad version that keeps its traffic on an isolated VM.

        A VM without peers or the lease must stop it on its own evidence.
        """
        fleet = Fleet()
        await fleet.run(120)
        isolated = fleet.vms[2]
        fleet.vms, fleet.contexts = [isolated], [fleet.contexts[2]]
        await fleet.run(10, new=FAILED_REPORT)
        assert isolated.stops.find(fleet.state.plan.move, fleet.now_s) is not None
        assert isolated.picker.pick(SERVICE, READ, fleet.now_s).version == "v1"

    async def test_malformed_object_is_replaced(self) -> None:
        """Guards against a malformed move object that blocks the move."""
        fleet = Fleet()
        fleet.store.set("moves/records", {"plan": []})
        await fleet.run(2)
        assert fleet.state.step == 0

    async def test_tasks_run(self, autojump_clock: Any) -> None:
        """Guards against tasks that end early or do not sleep between ticks."""
        fleet = Fleet()
        with trio.move_on_after(10):
            await fleet.vms[0].run()
        assert fleet.state.step == 0
