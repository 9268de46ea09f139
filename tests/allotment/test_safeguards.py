"""Test that each mechanism is needed: without it, its scenario exceeds the budget."""

import pytest
from support.world import BUDGET, FakeVm, World, settled_world

from wagtailbay.allotment import Safeguards


def load(world: World, vm: FakeVm, seconds: int = 4) -> None:
    """Let demand appear at one VM and spread as a fact."""
    for _ in range(seconds):
        world.ask(vm, 30)
        world.advance(1.0)


def decrease_unseen_by_its_vm(world: World) -> None:
    """Demand moves to vm-0 while vm-1, which hears nothing, still uses its share."""
    keeper = world.vms["vm-0"]
    world.cut |= {frozenset(("vm-1", other)) for other in ("vm-0", "vm-2", "store")}
    load(world, keeper)
    for _ in range(3):
        world.plan_through(keeper)
        world.check()


def loan_across_clocks(world: World) -> None:
    """Use a loan on a slow clock until after its term on the lender's fast clock."""
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


def paused_until_reclaimed(world: World) -> None:
    """vm-1 stops until its share belongs to others, then serves before it hears anything."""
    keeper, paused = world.vms["vm-0"], world.vms["vm-1"]
    paused.paused = True
    world.store.remove_vm("vm-1")
    for _ in range(8):
        world.advance(10.0)
        world.plan_through(keeper)
    assert keeper.allotment.holding.granted_to_others(BUDGET).get("vm-1", 0) == 0
    paused.paused = False
    world.check()
    world.ask(paused, 100)
    world.check()


def floor_of_many(world: World) -> None:
    """Four VMs use their floor at once."""
    world.start("vm-3")
    world.check()


def lender_restarts(world: World) -> None:
    """Free the share of a lender by its next run while its loan is still in use."""
    keeper, borrower = world.vms["vm-0"], world.vms["vm-2"]
    borrower.lenders = ("vm-1",)
    world.ask(borrower, 100)
    # The first order is small, since it is planned before the whole demand has shown.
    for _ in range(2):
        world.borrow(borrower)
        world.deliver_all()
    world.kill("vm-1")
    restarted = world.start("vm-1")
    restarted.read_store()
    keeper.exchange(restarted)
    for _ in range(3):
        world.plan_through(keeper)
        world.check()


def repeated_loans(world: World) -> None:
    """Borrow again and again from VMs that have spent a part of their tokens."""
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


def decrease_of_a_lender(world: World) -> None:
    """Decrease the share of a VM that has lent it, and let others grow by it."""
    lender, borrower, keeper = (world.vms[f"vm-{number}"] for number in (1, 2, 0))
    borrower.lenders = ("vm-1",)
    load(world, keeper)
    world.ask(borrower, 100)
    world.borrow(borrower)
    world.deliver_all()
    for _ in range(5):
        keeper.read_store()
        world.plan_through(keeper)
        for vm in world.vms.values():
            vm.read_store()
            vm.tick()
            vm.exchange(keeper)
        world.check()
    assert lender.account.lent_ppm(lender.clock()) > 0


def returned_loan(world: World) -> None:
    """Return a loan to its lender, and let both use what room they have."""
    borrower = world.vms["vm-2"]
    borrower.lenders = ("vm-1",)
    world.advance(6.0)
    world.ask(borrower, 100)
    for _ in range(2):
        world.borrow(borrower)
        world.deliver_all()
    assert borrower.account.borrowed_ppm(borrower.clock()) > 0
    world.spend(borrower)
    borrower.allotment.loans.on_spent(BUDGET, borrower.clock())
    world.borrow(borrower)
    world.deliver_all()
    for _ in range(5):
        world.check()
        world.now_s += 0.03


def fast_clocks(world: World) -> None:
    """Spend all that VMs gain whose clocks run 1% fast and which have the whole budget."""
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
    (decrease_unseen_by_its_vm, {"await_applied": False}),
    (loan_across_clocks, {"loan_margin": 0.0}),
    (paused_until_reclaimed, {"confine_isolated": False}),
    (floor_of_many, {"limit_floor": False}),
    (lender_restarts, {"await_ended_loans": False}),
    (repeated_loans, {"move_tokens": False}),
    (decrease_of_a_lender, {"check_applied_loans": False}),
    (returned_loan, {"end_returned": False}),
    (fast_clocks, {"refill_margin": 0.0}),
]


@pytest.mark.parametrize(("scenario", "switch"), SCENARIOS, ids=lambda case: str(case))
class TestSafeguards:
    """Each mechanism keeps its scenario within the budget, and nothing else does."""

    def test_holds_with_the_mechanism(self, scenario, switch) -> None:
        """Guards against a mechanism that does not do its part."""
        scenario(settled_world())

    def test_check_fails_without_the_mechanism(self, scenario, switch) -> None:
        """Guards against a check that would not notice that a mechanism is missing."""
        world = settled_world(safeguards=Safeguards(**switch))
        with pytest.raises(AssertionError, match=r"more requests ran|usable shares|tokens"):
            scenario(world)
