"""Tests that each safeguard is necessary: without it, a scenario exceeds the budget."""

import pytest
from support.allotment_simulation import (
    BUDGET,
    AllotmentSimulation,
    SimulatedVm,
    settled_simulation,
)

from wagtailbay.allotment import Safeguards


def generate_demand(simulation: AllotmentSimulation, vm: SimulatedVm, seconds: int = 4) -> None:
    """Generate demand at one VM and publish it to the others."""
    for _ in range(seconds):
        simulation.send_requests(vm, 30)
        simulation.advance(1.0)


def decrease_during_partition(simulation: AllotmentSimulation) -> None:
    """Move demand to vm-0 while vm-1 is partitioned and still uses its share."""
    planner = simulation.vms["vm-0"]
    simulation.cut_links |= {frozenset(("vm-1", other)) for other in ("vm-0", "vm-2", "store")}
    generate_demand(simulation, planner)
    for _ in range(3):
        simulation.plan_without_delay(planner)
        simulation.check_budget()


def loan_with_clock_skew(simulation: AllotmentSimulation) -> None:
    """Use a loan on a slow clock until after it has ended on the lender's fast clock."""
    lender, borrower = simulation.vms["vm-1"], simulation.vms["vm-2"]
    assert lender.clock_rate > borrower.clock_rate
    borrower.lenders = ("vm-1",)
    simulation.send_requests(borrower, 100)
    simulation.borrow(borrower)
    simulation.deliver_all()
    assert borrower.account.borrowed_ppm(borrower.clock()) > 0
    for _ in range(22):
        simulation.now_s += 0.1
        simulation.check_budget()


def pause_until_reclaim(simulation: AllotmentSimulation) -> None:
    """Pause vm-1 until its share is reassigned, then send it requests before any exchange."""
    planner, paused_vm = simulation.vms["vm-0"], simulation.vms["vm-1"]
    paused_vm.paused = True
    simulation.store.remove_vm("vm-1")
    for _ in range(8):
        simulation.advance(10.0)
        simulation.plan_without_delay(planner)
    assert planner.allotment.shares.other_vm_shares(BUDGET).get("vm-1", 0) == 0
    paused_vm.paused = False
    simulation.check_budget()
    simulation.send_requests(paused_vm, 100)
    simulation.check_budget()


def floors_of_all_vms(simulation: AllotmentSimulation) -> None:
    """Let four VMs use their floors at the same time."""
    simulation.start("vm-3")
    simulation.check_budget()


def lender_restart(simulation: AllotmentSimulation) -> None:
    """Restart a lender, which releases its share while its loan is still in use."""
    planner, borrower = simulation.vms["vm-0"], simulation.vms["vm-2"]
    borrower.lenders = ("vm-1",)
    simulation.send_requests(borrower, 100)
    # The first request is small, since the demand meter does not show the whole demand yet.
    for _ in range(2):
        simulation.borrow(borrower)
        simulation.deliver_all()
    simulation.kill("vm-1")
    restarted = simulation.start("vm-1")
    restarted.read_store()
    planner.exchange(restarted)
    for _ in range(3):
        simulation.plan_without_delay(planner)
        simulation.check_budget()


def repeated_loans(simulation: AllotmentSimulation) -> None:
    """Borrow repeatedly from VMs that have spent part of their tokens."""
    simulation.advance(5.0)
    borrower = simulation.vms["vm-0"]
    for _ in range(60):
        simulation.spend_tokens(borrower)
        simulation.send_requests(borrower, 7)
        simulation.borrow(borrower)
        simulation.deliver_all()
        for vm in simulation.vms.values():
            simulation.spend_tokens(vm)
        simulation.check_budget()
        simulation.advance(0.6)


def decrease_for_lender(simulation: AllotmentSimulation) -> None:
    """Decrease a share that its VM has lent, and grant it to other VMs."""
    lender, borrower, planner = (simulation.vms[f"vm-{number}"] for number in (1, 2, 0))
    borrower.lenders = ("vm-1",)
    generate_demand(simulation, planner)
    simulation.send_requests(borrower, 100)
    simulation.borrow(borrower)
    simulation.deliver_all()
    for _ in range(5):
        planner.read_store()
        simulation.plan_without_delay(planner)
        for vm in simulation.vms.values():
            vm.read_store()
            vm.tick()
            vm.exchange(planner)
        simulation.check_budget()
    assert lender.account.lent_ppm(lender.clock()) > 0


def loan_return(simulation: AllotmentSimulation) -> None:
    """Return a loan to its lender, and let both VMs use their capacity."""
    borrower = simulation.vms["vm-2"]
    borrower.lenders = ("vm-1",)
    simulation.advance(6.0)
    simulation.send_requests(borrower, 100)
    for _ in range(2):
        simulation.borrow(borrower)
        simulation.deliver_all()
    assert borrower.account.borrowed_ppm(borrower.clock()) > 0
    simulation.spend_tokens(borrower)
    borrower.allotment.loans.on_loans_spent(BUDGET, borrower.clock())
    simulation.borrow(borrower)
    simulation.deliver_all()
    for _ in range(5):
        simulation.check_budget()
        simulation.now_s += 0.03


def fast_clocks(simulation: AllotmentSimulation) -> None:
    """Spend all tokens of VMs that share the whole budget and whose clocks run 1% fast."""
    simulation = settled_simulation(max_vms=3, safeguards=simulation.safeguards)
    for vm in simulation.vms.values():
        vm.clock_offset_s += simulation.now_s * (vm.clock_rate - 1.01)
        vm.clock_rate = 1.01
    for _ in range(200):
        simulation.advance(1.0)
        for vm in simulation.vms.values():
            simulation.spend_tokens(vm)
        simulation.check_budget()


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
        scenario(settled_simulation())

    def test_check_fails_without_safeguard(self, scenario, disabled) -> None:
        """Guards against a check that does not detect a missing safeguard."""
        simulation = settled_simulation(safeguards=Safeguards(**disabled))
        with pytest.raises(AssertionError, match=r"admitted requests exceed|usable shares|tokens"):
            scenario(simulation)
