"""Property-based test that no sequence of events and faults exceeds a budget."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from support.allotment_simulation import AllotmentSimulation, settled_simulation

from wagtailbay.limits import BudgetLimit

LARGE = BudgetLimit(rate_per_s=20.0, burst=60.0)
SMALL = BudgetLimit(rate_per_s=2.0, burst=4.0)
# A region budget: its burst is 0.5 s of the rate, so only token loans are made.
REGION = BudgetLimit(rate_per_s=100.0, burst=50.0)
# A burst of less than 0.5 s of the rate, so rate loans are made as well.
SHORT = BudgetLimit(rate_per_s=100.0, burst=40.0)
MAX_VMS = 5
VM_NAMES = [f"vm-{number}" for number in range(MAX_VMS)]
vm_numbers = st.integers(min_value=0, max_value=30)

# derandomize derives the seed from the test itself, so every run uses the same examples.
STATE_MACHINE_SETTINGS = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    database=None,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)


class BudgetMachine(RuleBasedStateMachine):
    """Sends requests to VMs while messages, the store and processes fail."""

    simulation: AllotmentSimulation

    @initialize(limit=st.sampled_from([LARGE, SMALL, REGION, SHORT]), vms=st.integers(2, 4))
    def start(self, limit: BudgetLimit, vms: int) -> None:
        """Start VMs whose ledger is already divided."""
        self.simulation = settled_simulation(vms, limit=limit, max_vms=MAX_VMS)

    def _vm(self, number: int):
        running = self.simulation.running_vms()
        return running[number % len(running)] if running else None

    @rule(number=vm_numbers, amount=st.sampled_from([1, 3, 100]))
    def ask(self, number: int, amount: int) -> None:
        """Send requests to one VM."""
        if vm := self._vm(number):
            self.simulation.send_requests(vm, amount)

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.0, 2.0, 6.0, 33.0]), beat=st.booleans())
    def advance(self, seconds: float, beat: bool) -> None:
        """Let time pass."""
        self.simulation.advance(seconds, beat)

    @rule()
    def ask_everywhere(self) -> None:
        """Send enough requests to spend every VM's tokens."""
        for vm in self.simulation.running_vms():
            self.simulation.send_requests(vm, 100)

    @rule(number=vm_numbers)
    def borrow(self, number: int) -> None:
        """Spend a VM's tokens and send its loan requests."""
        if vm := self._vm(number):
            self.simulation.send_requests(vm, 100)
            self.simulation.borrow(vm)

    @rule(number=vm_numbers)
    def borrow_at_once(self, number: int) -> None:
        """Borrow without message delays and spend the loan."""
        if vm := self._vm(number):
            self.simulation.send_requests(vm, 100)
            self.simulation.borrow(vm)
            self.simulation.deliver_all()
            self.simulation.send_requests(vm, 100)

    @rule(number=vm_numbers)
    def plan_at_once(self, number: int) -> None:
        """Complete a planning round without delays."""
        if vm := self._vm(number):
            self.simulation.plan_without_delay(vm)

    @rule(number=vm_numbers)
    def read_store(self, number: int) -> None:
        """Let one VM read the replicated objects from the store."""
        if vm := self._vm(number):
            vm.read_store()

    @rule(number=vm_numbers, times=st.integers(1, 4))
    def plan_for_a_while(self, number: int, times: int) -> None:
        """Complete several planning rounds, 12 s apart."""
        for _ in range(times):
            self.plan_at_once(number)
            self.simulation.advance(12.0)

    @rule(number=vm_numbers)
    def plan(self, number: int) -> None:
        """Start a planning round with delayed store calls."""
        if vm := self._vm(number):
            self.simulation.start_plan(vm)

    @rule(number=vm_numbers)
    def deliver(self, number: int) -> None:
        """Deliver one message."""
        if self.simulation.pending_tasks:
            self.simulation.deliver(
                self.simulation.pending_tasks[number % len(self.simulation.pending_tasks)]
            )

    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages."""
        self.simulation.deliver_all()

    @rule(number=vm_numbers, other=vm_numbers, answered=st.booleans())
    def exchange(self, number: int, other: int, answered: bool) -> None:
        """Exchange state between two VMs, optionally losing the answer."""
        one, two = self._vm(number), self._vm(other)
        if one is not two and self.simulation.is_linked(one.name, two.name):
            one.exchange(two, answered)

    @rule(number=vm_numbers)
    def pause(self, number: int) -> None:
        """Pause a process."""
        if vm := self._vm(number):
            vm.paused = True

    @rule()
    def resume(self) -> None:
        """Resume all paused processes."""
        for vm in self.simulation.vms.values():
            vm.paused = False

    @rule(name=st.sampled_from(VM_NAMES))
    def kill_process(self, name: str) -> None:
        """Kill a process."""
        if name in self.simulation.vms:
            self.simulation.kill(name)

    @rule(name=st.sampled_from(VM_NAMES))
    def start_process(self, name: str) -> None:
        """Start a process, replacing a running one with a newer incarnation."""
        if name in self.simulation.vms:
            self.simulation.kill(name)
        self.simulation.start(name)

    @rule(name=st.sampled_from(VM_NAMES))
    def leave(self, name: str) -> None:
        """Shut a process down gracefully."""
        if name in self.simulation.vms and not self.simulation.vms[name].paused:
            self.simulation.leave(name)

    @rule(name=st.sampled_from(VM_NAMES))
    def drop_from_list(self, name: str) -> None:
        """Remove a dead or paused VM from the platform's list."""
        vm = self.simulation.vms.get(name)
        if vm is None or vm.paused:
            self.simulation.store.remove_vm(name)

    @rule(outage=st.booleans(), lost=st.integers(0, 1))
    def break_store(self, outage: bool, lost: int) -> None:
        """Set whether the store is down and how many of its answers are lost."""
        self.simulation.store.down, self.simulation.store.lose_answers = outage, lost

    @rule(doubled=st.booleans(), lost=st.booleans())
    def break_loans(self, doubled: bool, lost: bool) -> None:
        """Set whether loan requests are duplicated and their answers lost."""
        self.simulation.duplicate_loan_requests, self.simulation.lose_loan_answers = doubled, lost

    @rule(one=st.sampled_from(VM_NAMES), other=st.sampled_from([*VM_NAMES, "store"]))
    def cut_link(self, one: str, other: str) -> None:
        """Cut the link between two VMs or to the store."""
        if one != other:
            self.simulation.cut_links.add(frozenset((one, other)))

    @rule()
    @precondition(lambda self: self.simulation.cut_links)
    def restore_links(self) -> None:
        """Restore all links."""
        self.simulation.cut_links.clear()

    @invariant()
    def budget_is_not_exceeded(self) -> None:
        """Compare with a reference bucket for the whole budget."""
        if hasattr(self, "simulation"):
            self.simulation.check_budget()


class TestBudgetStateMachine:
    """No sequence of requests, plans, loans and faults exceeds the budget."""

    def test_budget_is_never_exceeded(self) -> None:
        """Guards against interleavings in which two VMs use the same share or tokens."""
        print("hypothesis settings:", STATE_MACHINE_SETTINGS)
        run_state_machine_as_test(BudgetMachine, settings=STATE_MACHINE_SETTINGS)
