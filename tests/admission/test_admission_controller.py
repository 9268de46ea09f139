"""Tests of waiting, waking and leaving, on a virtual clock."""

import random

import pytest
import trio
from attrs import define, evolve, field
from result import Err, Ok
from support.gateway import make_entry, make_registry

from wagtailbay.admission import AdmissionController, AdmissionRequest, AdmissionSettings
from wagtailbay.admission.const import COMPLETIONS_WINDOW_S
from wagtailbay.limits.decay import DecayingRate
from wagtailbay.placement import (
    Placement,
    PlacementFailure,
    PlacementReason,
    SelectionTurn,
    TargetOutcome,
)

TARGET = make_registry(make_entry("t1")).targets["t1"]
PLACEMENT = Placement(TARGET, "north", 0.0, PlacementReason.PREFERRED)
FULL = Err(PlacementFailure.full(500.0))


@define
class Bench:
    """A controller with free slots that requests take.

    Attributes:
        admitted: Names of the requests that got a slot, in order.
        turns: Name and turn of each selection.
        only: Name of the request for whose target the slots are; empty if they are for all.
    """

    controller: AdmissionController
    free: int = 0
    failure: Err = FULL
    admitted: list[str] = field(factory=list)
    turns: list[tuple[str, SelectionTurn]] = field(factory=list)
    only: str = ""

    async def request(self, name: str, priority: int = 1, goal_ms: float = 8_000.0, **fields):
        """Ask for a slot and return the selection."""
        now_s = trio.current_time()
        request = AdmissionRequest(
            "records", priority, "w", name, now_s, goal_ms, now_s + 60, **fields
        )

        def select(turn: SelectionTurn):
            self.turns.append((name, turn))
            is_other = self.only not in ("", name)
            if turn is SelectionTurn.BEHIND or not self.free or is_other:
                return self.failure
            self.free -= 1
            self.admitted.append(name)
            return Ok(PLACEMENT)

        return await self.controller.select_in_order(request, select)

    def finish(self) -> None:
        """Free a slot and report it."""
        self.free += 1
        self.controller.record_finish(PLACEMENT, TargetOutcome.ANSWERED)


@pytest.fixture
def bench():
    """Return a bench whose targets have completed requests recently and are full."""
    settings = AdmissionSettings(0.125, 2)
    controller = AdmissionController(trio.current_time, settings, rng=random.Random(1))
    return Bench(controller)


async def start(bench: Bench, nursery, *requests: tuple[str, int]) -> None:
    """Start requests that wait, after completions that let them expect capacity."""
    for _ in range(60):
        bench.controller.record_finish(PLACEMENT, TargetOutcome.ANSWERED)
    for name, priority in requests:
        nursery.start_soon(bench.request, name, priority)
        await trio.testing.wait_all_tasks_blocked()


class TestWaking:
    """Requests that wait select when capacity becomes free, the first in order first."""

    async def test_freed_slot_goes_to_the_most_urgent(self, bench, nursery, autojump_clock):
        """Guards against waking in order of arrival, or several requests for one slot."""
        await start(bench, nursery, ("late", 2), ("urgent", 0))
        bench.finish()
        await trio.testing.wait_all_tasks_blocked()
        assert bench.admitted == ["urgent"]
        bench.finish()
        await trio.testing.wait_all_tasks_blocked()
        assert bench.admitted == ["urgent", "late"]
        assert bench.controller.queued == 0

    @pytest.mark.parametrize(("has_local", "expected"), [(True, []), (False, ["first"])])
    async def test_end_elsewhere_wakes_only_without_own_targets(
        self, bench, nursery, autojump_clock, has_local, expected
    ):
        """Guards against a VM without targets in its region that lets nobody wait."""
        await start(bench, nursery, ("first", 1))
        bench.free = 1
        placement = evolve(PLACEMENT, reason=PlacementReason.SPILLED, has_local=has_local)
        bench.controller.record_finish(placement, TargetOutcome.ANSWERED)
        await trio.testing.wait_all_tasks_blocked()
        assert bench.admitted == expected

    async def test_new_request_does_not_overtake(self, bench, nursery, autojump_clock):
        """Guards against a slot freed elsewhere that goes to a newcomer instead of a waiter."""
        await start(bench, nursery, ("first", 1))
        bench.controller.services["records"].queue.start_epoch(trio.current_time())
        bench.free = 1
        nursery.start_soon(bench.request, "second")
        await trio.sleep(0.06)
        assert bench.admitted == ["first"]
        assert ("second", SelectionTurn.BEHIND) in bench.turns

    async def test_request_for_other_targets_is_not_blocked(self, bench, nursery, autojump_clock):
        """Guards against a queue that stands still while its first waits for one full target."""
        await start(bench, nursery, ("first", 1))
        bench.free = 1
        await bench.request("second")
        assert bench.admitted == ["second"]

    async def test_request_that_can_not_wait_tries_its_own_target(
        self, bench, nursery, autojump_clock
    ):
        """Guards against refusing a request beside its free target, as others have not tried."""
        bench.controller.settings = AdmissionSettings(0.125, 20)
        await start(bench, nursery, *((f"w{number}", 0) for number in range(10)))
        queue = bench.controller.services["records"].queue
        queue.start_epoch(trio.current_time())
        queue.completions = DecayingRate(COMPLETIONS_WINDOW_S)
        bench.only = "other"
        bench.free = 1
        assert (await bench.request("other")).is_ok()
        assert trio.current_time() == 0
        turns = [turn for name, turn in bench.turns if name == "other"]
        # The second one must not count as demand again.
        assert turns == [SelectionTurn.BEHIND, SelectionTurn.AGAIN]

    async def test_request_that_can_not_wait_lets_the_first_go_ahead(
        self, bench, nursery, autojump_clock
    ):
        """Guards against a newcomer that takes the slot for which another one was just woken."""
        await start(bench, nursery, ("first", 0))
        bench.finish()
        bench.controller.services["records"].queue.completions = DecayingRate(COMPLETIONS_WINDOW_S)
        assert (await bench.request("second", 2)).is_err()
        assert bench.admitted == ["first"]

    async def test_timer_selects_again_at_its_interval(self, bench, nursery, autojump_clock):
        """Guards against missing capacity that other VMs free, and against polling."""
        await start(bench, nursery, ("first", 1), ("second", 1))
        await trio.sleep(0.49)
        selections = [name for name, turn in bench.turns if turn is SelectionTurn.AGAIN]
        assert selections == ["first", "second"] * 9
        bench.free = 1
        await trio.sleep(0.05)
        assert bench.admitted == ["first"]


class TestLeaving:
    """Requests leave the queue when they can't be served."""

    async def test_wait_ends_without_capacity(self, bench, nursery, autojump_clock):
        """Guards against a request that is held for longer than the setting allows."""
        await start(bench, nursery)
        selected = await bench.request("first")
        assert selected.err_value.is_full
        assert trio.current_time() == pytest.approx(1.0)

    async def test_disconnected_caller_leaves_at_once(self, bench, nursery, autojump_clock):
        """Guards against a slot for a caller that has left, and a queue that waits for it."""
        scope = trio.CancelScope()

        async def leave() -> None:
            with scope:
                await bench.request("gone")

        await start(bench, nursery)
        nursery.start_soon(leave)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(bench.request, "next")
        await trio.testing.wait_all_tasks_blocked()
        scope.cancel()
        bench.finish()
        await trio.testing.wait_all_tasks_blocked()
        assert bench.admitted == ["next"]
        assert bench.controller.services["records"].queue.waiting == []

    async def test_unusable_targets_end_the_wait(self, bench, nursery, autojump_clock):
        """Guards against holding a request whose targets are all gone."""
        await start(bench, nursery)
        bench.failure = Err(PlacementFailure.unusable(1_500.0))
        selected = await bench.request("first")
        assert not selected.err_value.is_full
        assert trio.current_time() == 0

    async def test_without_completions_nobody_waits(self, bench, autojump_clock):
        """Guards against holding a request that no capacity is expected to reach."""
        assert (await bench.request("first")).err_value.is_full
        assert trio.current_time() == 0

    async def test_full_vm_holds_the_most_urgent(self, bench, nursery, autojump_clock):
        """Guards against unbounded memory, and less urgent requests that bar urgent ones."""
        await start(bench, nursery, ("a", 1), ("b", 2), ("c", 0))
        names = {request.priority for request in bench.controller.services["records"].queue.waiting}
        assert names == {0, 1}
        assert bench.controller.queued == 2
        await bench.request("d", 2)
        assert trio.current_time() == 0


class TestRefusal:
    """Refused callers are told when to come back, and are known when they do."""

    async def test_retry_after_is_bounded(self, bench, nursery, autojump_clock):
        """Guards against a time that the caller does not have, or one that is too short."""
        await start(bench, nursery)
        request = AdmissionRequest("records", 1, "w", "f", 0.0, 800.0, 8.0)
        for number in range(1_000):
            retry_after_ms = bench.controller.refuse(request, FULL.err_value, 900.0)
            assert 150 <= retry_after_ms <= 300, number
        assert bench.controller.refuse(request, FULL.err_value, 90.0) == 150

    async def test_pause_is_passed_on(self, bench, autojump_clock):
        """Guards against a return before the targets want requests again."""
        request = AdmissionRequest("records", 1, "w", "f", 0.0, 800.0, 8.0)
        assert bench.controller.refuse(request, PlacementFailure.paused(2_000.0), 900.0) == 2_000
