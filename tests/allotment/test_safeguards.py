"""Tests that each safeguard is necessary: without it, a scenario exceeds the budget."""

import pytest
from support.world import BUDGET, FakeVm, World, settled_world

from wagtailbay.allotment import Safeguards


def generate_demand(world: World, vm: FakeVm, seconds: int = 4) -> None:
    """Generate demand at one VM and publish it to the others."""
    for _ in range(seconds):
        world.ask(vm, 30)
        world.advance(1.0)


def decrease_during_partition(world: World) -> None:
    """Move demand to vm-0 while vm-1 is partitioned and still uses its share."""
    planner = world.vms["vm-0"]
    world.cut |= {frozenset(("vm-1", other)) for other in ("vm-0", "vm-2", "store")}
    generate_demand(world, planner)
    for _ in range(3):
        world.plan_through(planner)
        world.check()


def loan_with_clock_skew(world: World) -> None:
    """Use a loan on a slow clock until after it has ended on the lender's fast clock."""
    lender, borrower = world.vms["vm-1"], world.vms["vm-2"]
    assert lender.clock_rate > borrower.clock_rate
    borrower.lenders = ("vm-1",)
    world.ask(borrower, 100)
    world.borrow(borrower)
    world.deliver_all()
    assert borrower.account.borrowed_ppm(borrower.clock()) > 0
    for _ in range(22):
        world.now_s += 0.1
        world.check()


def pause_until_reclaim(world: World) -> None:
    """Pause vm-1 until its share is reassigned, then send it requests before any exchange."""
    planner, paused_vm = world.vms["vm-0"], world.vms["vm-1"]
    paused_vm.paused = True
    world.store.remove_vm("vm-1")
    for _ in range(8):
        world.advance(10.0)
        world.plan_through(planner)
    assert planner.allotment.shares.other_vm_shares(BUDGET).get("vm-1", 0) == 0
    paused_vm.paused = False
    world.check()
    world.ask(paused_vm, 100)
    world.check()


def floors_of_all_vms(world: World) -> None:
    """Let four VMs use their floors at the same time."""
    world.start("vm-3")
    world.check()


def lender_restart(world: World) -> None:
    """Restart a lender, which releases its share while its loan is still in use."""
    planner, borrower = world.vms["vm-0"], world.vms["vm-2"]
    borrower.lenders = ("vm-1",)
    world.ask(borrower, 100)
    # The first request is small, since the demand meter does not show the whole demand yet.
    for _ in range(2):
        world.borrow(borrower)
        world.deliver_all()
    world.kill("vm-1")
    restarted = world.start("vm-1")
    restarted.read_store()
    planner.exchange(restarted)
    for _ in range(3):
        world.plan_through(planner)
        world.check()


def repeated_loans(world: World) -> None:
    """Borrow repeatedly from VMs that have spent part of their tokens."""
    world.advance(5.0)
    borrower = world.vms["vm-0"]
    for _ in range(60):
        world.spend(borrower)
        world.ask(borrower, 7)
        world.borrow(borrower)
        world.deliver_all()
        for vm in world.vms.values():
            world.spend(vm)
        world.check()
        world.advance(0.6)


def decrease_for_lender(world: World) -> None:
    """Decrease a share that its VM has lent, and grant it to other VMs."""
    lender, borrower, planner = (world.vms[f"vm-{number}"] for number in (1, 2, 0))
    borrower.lenders = ("vm-1",)
    generate_demand(world, planner)
    world.ask(borrower, 100)
    world.borrow(borrower)
    world.deliver_all()
    for _ in range(5):
        planner.read_store()
        world.plan_through(planner)
        for vm in world.vms.values():
            vm.read_store()
            vm.tick()
            vm.exchange(planner)
        world.check()
    assert lender.account.lent_ppm(lender.clock()) > 0


def loan_return(world: World) -> None:
    """Return a loan to its lender, and let both VMs use their capacity."""
    borrower = world.vms["vm-2"]
    borrower.lenders = ("vm-1",)
    world.advance(6.0)
    world.ask(borrower, 100)
    for _ in range(2):
        world.borrow(borrower)
        world.deliver_all()
    assert borrower.account.borrowed_ppm(borrower.clock()) > 0
    world.spend(borrower)
    borrower.allotment.loans.on_loans_spent(BUDGET, borrower.clock())
    world.borrow(borrower)
    world.deliver_all()
    for _ in range(5):
        world.check()
        world.now_s += 0.03


def fast_clocks(world: World) -> None:
    """Spend all tokens of VMs that share the whole budget and whose clocks run 1% fast."""
    world = settled_world(max_vms=3, safeguards=world.safeguards)
    for vm in world.vms.values():
        vm.clock_offset_s += world.now_s * (vm.clock_rate - 1.01)
        vm.clock_rate = 1.01
    for _ in range(200):
        world.advance(1.0)
        for vm in world.vms.values():
            world.spend(vm)
        world.check()


SCENARIOS = [
    (decrease_during_partition, {"await_confirmation": False}),
    (loan_with_clock_skew, {"loan_margin": 0.0}),
    (pause_until_reclaim, {"restrict_isolated": False}),
    (floors_of_all_vms, {"divide_floor_reserve": False}),
    (lender_restart, {"await_ended_loans": False}),
    (repeated_loans, {"move_tokens": False}),
    (decrease_for_lender, {"check_lent_shares": False}),
    (loan_return, {"release_before_return": False}),
    (fast_clocks, {"refill_margin": 0.0}),
]


@pytest.mark.parametrize(("scenario", "disabled"), SCENARIOS, ids=lambda case: str(case))
class TestSafeguards:
    """Each safeguard keeps its scenario within the budget, which fails without it."""

    def test_budget_holds_with_safeguard(self, scenario, disabled) -> None:
        """Guards against a safeguard that does not prevent its failure."""
        scenario(settled_world())

    def test_check_fails_without_safeguard(self, scenario, disabled) -> None:
        """Guards against a check that does not detect a missing safeguard."""
        world = settled_world(safeguards=Safeguards(**disabled))
        with pytest.raises(AssertionError, match=r"more requests ran|usable shares|tokens"):
            scenario(world)
