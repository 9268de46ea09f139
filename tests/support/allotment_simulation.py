"""Simulation of the allotment of several VMs under faults, with a simulated clock.

Only clocks, messages, the platform and the membership are simulated; accounts, ledgers, loans and
plans are the production classes. A reference token bucket, which has no shares, checks every
admitted request against the rate and burst of the whole budget.
"""

from collections.abc import Sequence

from attrs import define, evolve, field
from result import Err, Ok, Result

from support.manual_tasks import ManualTask, suspend
from wagtailbay.allotment import Allotment, BorrowFailed, Safeguards, ledger_group
from wagtailbay.limits import BudgetLimit
from wagtailbay.membership import FactTable, LoanGrant, LoanRequest, Member, VmIdentity, VmState
from wagtailbay.replica import Replica
from wagtailbay_bench.memory_store import MemoryStore

BUDGET = "workspace:records/unam"
GROUP = ledger_group(BUDGET)
CLOCK_ERROR = 0.01
WHOLE_PPM = 1_000_000


@define(eq=False)
class SimulatedVm:
    """Simulates one incarnation of an entry process and its view of the other VMs."""

    simulation: "AllotmentSimulation"
    name: str
    incarnation: int
    clock_offset_s: float
    clock_rate: float
    allotment: Allotment = field(init=False)
    replica: Replica = field(factory=Replica)
    facts: FactTable = field(init=False)
    known_members: dict[str, Member] = field(factory=dict)
    last_received_s: dict[str, float] = field(factory=dict)
    last_contact_s: float | None = None
    last_loop_s: float = 0.0
    stalled: bool = False
    paused: bool = False
    lenders: tuple[str, ...] | None = None

    def __attrs_post_init__(self) -> None:
        self.facts = FactTable(self.name, self.incarnation)
        self.last_loop_s = self.clock()
        identity = VmIdentity(self.name, self.incarnation, "", "", "")
        self.known_members[self.name] = Member(identity, VmState.LIVE, 1)
        self.allotment = Allotment(
            fleet=self,
            loan_client=self,
            store=self.simulation.store,
            replica=self.replica,
            facts=self.facts,
            limits=lambda: {BUDGET: self.simulation.limit},
            max_vms=lambda: self.simulation.max_vms,
            clock=self.clock,
            started_s=self.clock(),
            safeguards=self.simulation.safeguards,
        )

    def clock(self) -> float:
        """Return the VM's clock, which has its own offset and rate relative to simulated time."""
        return self.clock_offset_s + self.simulation.now_s * self.clock_rate

    def is_holder(self, now_s: float) -> bool:
        """Return True, so that every VM plans, as with several lease holders at the same time."""
        return True

    def is_isolated(self, now_s: float) -> bool:
        """Return whether the VM must treat itself as isolated.

        It is isolated after 20 s without contact, and after a loop stall of more than 5 s until the
        next contact.
        """
        self.stalled |= now_s - self.last_loop_s > 5.0
        return self.stalled or self.last_contact_s is None or now_s - self.last_contact_s > 20.0

    def members(self) -> Sequence[Member]:
        """Return all known members, including this VM."""
        return tuple(self.known_members.values())

    def last_heard_s(self, vm: str) -> float | None:
        """Return when state of a VM was last received."""
        return self.last_received_s.get(vm)

    def neighbours(self) -> Sequence[str]:
        """Return the VMs to borrow from: the configured lenders or all other VMs."""
        others = tuple(vm for vm in self.known_members if vm != self.name)
        return others if self.lenders is None else self.lenders

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, BorrowFailed]:
        """Deliver a loan request and its answer, each when the test resumes the task."""
        await suspend()
        lender = self.simulation.vms.get(vm)
        if lender is None or lender.paused or not self.simulation.is_linked(self.name, vm):
            return Err(BorrowFailed("unreachable"))
        grant = lender.allotment.lend(request, lender.clock())
        if self.simulation.duplicate_loan_requests:
            grant = lender.allotment.lend(request, lender.clock())
        await suspend()
        if self.simulation.lose_loan_answers:
            return Err(BorrowFailed("the answer was lost"))
        return Ok(grant)

    def tick(self) -> None:
        """Run one iteration of the VM's loop."""
        self.is_isolated(self.clock())
        self.last_loop_s = self.clock()
        self.allotment.shares.tick(self.clock())

    def receive_state(self, other: "SimulatedVm") -> None:
        """Merge the members and facts of another VM."""
        for vm, member in other.known_members.items():
            known = self.known_members.get(vm)
            if known is None or _member_version(member) > _member_version(known):
                self.known_members[vm] = member
        received_vms = {other.name}
        sender_now_s = other.clock()
        facts = [
            evolve(fact, expires_s=self.clock() + fact.expires_s - sender_now_s)
            for fact in other.facts.facts.values()
        ]
        received_vms |= {fact.vm for fact in self.facts.merge(facts)}
        self.last_received_s |= dict.fromkeys(received_vms, self.clock())

    def exchange(self, other: "SimulatedVm", answered: bool = True) -> None:
        """Exchange state with another VM; without an answer, only the other VM receives state."""
        self.is_isolated(self.clock())
        other.receive_state(self)
        if answered:
            self.receive_state(other)
            self.replica.apply(
                other.replica.delta_since(self.replica.revision), other.replica.revision
            )
            self.last_contact_s, self.stalled = self.clock(), False

    def read_store(self) -> None:
        """Read the replicated objects from the store, if it is reachable."""
        if not self.simulation.store.down and self.simulation.is_linked(self.name, "store"):
            self.is_isolated(self.clock())
            store = self.simulation.store
            self.replica.apply(tuple(store.objects.values()), store.revision)
            self.last_contact_s, self.stalled = self.clock(), False

    @property
    def account(self):
        """Return the VM's account of the simulated budget."""
        return self.allotment.shares.account(BUDGET, self.simulation.limit, self.clock())


def _member_version(member: Member) -> tuple[int, int]:
    return member.identity.incarnation, member.sequence


@define
class AllotmentSimulation:
    """Simulates the VMs, the store, the true time and the pending messages and store calls.

    Attributes:
        duplicate_loan_requests: Whether each loan request is delivered twice.
        lose_loan_answers: Whether the answers to loan requests are lost.
        cut_links: Pairs of VMs, or of a VM and ``store``, that cannot reach each other.
    """

    limit: BudgetLimit = BudgetLimit(rate_per_s=20.0, burst=60.0)
    max_vms: int = 5
    safeguards: Safeguards = field(factory=Safeguards)
    clock_skew: bool = True
    store: MemoryStore = field(factory=lambda: MemoryStore(simulate_latency=suspend))
    vms: dict[str, SimulatedVm] = field(factory=dict)
    pending_tasks: list[ManualTask] = field(factory=list)
    cut_links: set[frozenset[str]] = field(factory=set)
    duplicate_loan_requests: bool = False
    lose_loan_answers: bool = False
    start_count: int = 0
    now_s: float = 1000.0
    admitted: int = 0
    reference_level: float = field(init=False)
    reference_s: float = 1000.0

    def __attrs_post_init__(self) -> None:
        self.reference_level = self.limit.burst

    def start(self, name: str) -> SimulatedVm:
        """Start a process; the clocks of successive processes run 1% slow, exact and 1% fast."""
        self.start_count += 1
        rate = 1.0 + CLOCK_ERROR * ((self.start_count % 3) - 1) if self.clock_skew else 1.0
        vm = SimulatedVm(
            self, name, self.start_count, clock_offset_s=7.0 * self.start_count, clock_rate=rate
        )
        self.vms[name] = vm
        self.store.add_vm(name)
        vm.tick()
        return vm

    def kill(self, name: str) -> None:
        """Kill a process and cancel its pending tasks."""
        vm = self.vms.pop(name)
        for task in [task for task in self.pending_tasks if task.owner is vm]:
            task.coroutine.close()
            self.pending_tasks.remove(task)

    def leave(self, name: str) -> None:
        """Shut a process down gracefully: it announces that it left, then ends."""
        vm = self.vms[name]
        member = vm.known_members[name]
        vm.known_members[name] = evolve(member, state=VmState.LEFT, sequence=member.sequence + 1)
        for other in self.running_vms():
            if other is not vm and self.is_linked(name, other.name):
                other.receive_state(vm)
        self.kill(name)
        self.store.remove_vm(name)

    def is_linked(self, one: str, other: str) -> bool:
        """Return whether two VMs, or a VM and the store, can reach each other."""
        return frozenset((one, other)) not in self.cut_links

    def running_vms(self) -> list[SimulatedVm]:
        """Return the VMs that are not paused."""
        return [vm for vm in self.vms.values() if not vm.paused]

    def advance(self, seconds: float, exchange: bool = True) -> None:
        """Advance time; every second, VMs tick and, if ``exchange`` is set, exchange state."""
        left_s = seconds
        while left_s > 0:
            step_s = min(1.0, left_s)
            left_s -= step_s
            self.now_s += step_s
            for vm in self.running_vms():
                vm.tick()
            if exchange:
                self.exchange_all()

    def exchange_all(self) -> None:
        """Let every VM read the store and exchange state with all VMs that it can reach."""
        for vm in self.running_vms():
            vm.read_store()
            for other in self.running_vms():
                if other is not vm and self.is_linked(vm.name, other.name):
                    vm.exchange(other)

    def start_task(self, owner: SimulatedVm, coroutine) -> ManualTask | None:
        """Start a coroutine of a VM; return its task, or None if it has already finished."""
        task = ManualTask(owner, coroutine)
        if task.resume():
            self.pending_tasks.append(task)
            return task
        return None

    def start_plan(self, vm: SimulatedVm) -> ManualTask | None:
        """Start a planning round whose store calls are delayed."""
        return self.start_task(vm, vm.allotment.coordinator.reconcile())

    def plan_without_delay(self, vm: SimulatedVm) -> None:
        """Complete a planning round without delays and let the VM read the result."""
        vm.tick()
        self.start_plan(vm)
        self.deliver_all()
        vm.read_store()

    def borrow(self, vm: SimulatedVm) -> None:
        """Send the loan requests that the VM's own logic decides on."""
        loans = vm.allotment.loans
        loans.on_low_tokens(BUDGET, 1.0, vm.clock())
        for lender, request in loans.drain_outbox():
            self.start_task(vm, loans.send_request(lender, request))

    def deliver(self, task: ManualTask) -> None:
        """Deliver one message or store call, unless its VM is paused."""
        if not task.owner.paused and not task.resume():
            self.pending_tasks.remove(task)

    def deliver_all(self) -> None:
        """Deliver messages and store calls until only those of paused VMs are pending."""
        while any(not task.owner.paused for task in self.pending_tasks):
            for task in tuple(self.pending_tasks):
                self.deliver(task)

    def send_requests(self, vm: SimulatedVm, amount: int = 1) -> int:
        """Send requests to a VM and return how many were admitted."""
        admitted = 0
        for _ in range(amount):
            vm.allotment.shares.record_demand(BUDGET, 1.0, vm.clock())
            admitted += vm.account.take(1.0, vm.clock())
        self._record_admitted(admitted)
        return admitted

    def spend_tokens(self, vm: SimulatedVm) -> None:
        """Spend all tokens of a VM without recording demand."""
        admitted = 0
        while vm.account.take(1.0, vm.clock()):
            admitted += 1
        self._record_admitted(admitted)

    def _record_admitted(self, admitted: int) -> None:
        self.admitted += admitted
        gained_tokens = (self.now_s - self.reference_s) * self.limit.rate_per_s
        self.reference_level = (
            min(self.limit.burst, self.reference_level + gained_tokens) - admitted
        )
        self.reference_s = self.now_s

    def check_budget(self) -> None:
        """Assert that the VMs together do not exceed the rate and burst of the budget."""
        assert self.reference_level >= -1e-6, "admitted requests exceed rate x time + burst"
        now = [(vm.account, vm.clock()) for vm in self.running_vms()]
        for account, clock_s in now:
            account.refill(clock_s)
        shares_ppm = sum(account.usable_ppm(clock_s) for account, clock_s in now)
        assert shares_ppm <= WHOLE_PPM, f"the usable shares sum to {shares_ppm} ppm"
        total_capacity = sum(account.bucket.capacity for account, _ in now)
        assert (
            total_capacity <= self.limit.burst + 1e-6
        ), f"the usable shares have a capacity of {total_capacity} tokens"
        rate_per_s = sum(account.bucket.rate_per_s for account, _ in now)
        limit_per_s = self.limit.rate_per_s
        assert rate_per_s <= limit_per_s + 1e-6, f"the usable shares refill at {rate_per_s}/s"
        tokens = sum(account.bucket.level for account, _ in now)
        assert tokens <= self.limit.burst + 1e-6, f"the VMs hold {tokens} tokens"


def settled_simulation(vms: int = 3, rounds: int = 4, **options) -> AllotmentSimulation:
    """Return a simulation in which the ledger is already divided among the VMs."""
    simulation = AllotmentSimulation(**options)
    for number in range(vms):
        simulation.start(f"vm-{number}")
    simulation.advance(1.0)
    planner = next(iter(simulation.vms.values()))
    for _ in range(rounds):
        simulation.start_plan(planner)
        simulation.deliver_all()
        simulation.advance(2.0)
    return simulation
