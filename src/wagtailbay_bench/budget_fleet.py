"""Simulate the budgets of several VMs in one process in virtual time."""

import random
from collections.abc import Callable, Sequence

import trio
from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.allotment import Allotment, BorrowFailed, EqualShares
from wagtailbay.config import ServiceDocument, WorkspaceLimit
from wagtailbay.limits import BudgetLimit, TokenBucket, WorkspaceLimiter, workspace_budget
from wagtailbay.membership import FactTable, LoanGrant, LoanRequest, Member, VmIdentity, VmState
from wagtailbay.replica import Replica
from wagtailbay_bench.memory_store import MemoryStore

SERVICE = "records"
REGIONS = 3
SAME_REGION_LATENCY_S, CROSS_REGION_LATENCY_S = 0.001, 0.035
EXCHANGE_INTERVAL_S = 1.0


async def simulate_store_latency() -> None:
    """Sleep for the one-way latency between a VM and the store."""
    await trio.sleep(CROSS_REGION_LATENCY_S)


@define(eq=False)
class SimulatedVm:
    """Simulated VM that copies members, facts and replica entries directly from the others.

    Attributes:
        last_received_s: When each VM was last contacted or new facts of it arrived, by VM name.
        last_contact_s: When this VM last completed an exchange.
    """

    fleet: "SimulatedFleet"
    name: str
    region: int
    limiter: WorkspaceLimiter = field(init=False)
    allotment: Allotment | None = None
    replica: Replica = field(factory=Replica)
    facts: FactTable = field(init=False)
    roster: dict[str, Member] = field(factory=dict)
    last_received_s: dict[str, float] = field(factory=dict)
    last_contact_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Build the limiter with the shares of the simulated division."""
        self.facts = FactTable(self.name, 1)
        self.roster[self.name] = Member(VmIdentity(self.name, 1, "", "", ""), VmState.LIVE, 1)
        if self.fleet.division == "equal":
            shares = EqualShares(lambda: self.fleet.max_vms, trio.current_time())
        else:
            self.allotment = Allotment(
                fleet=self,
                loan_client=self,
                store=self.fleet.store,
                replica=self.replica,
                facts=self.facts,
                limits=lambda: self.fleet.limits,
                max_vms=lambda: self.fleet.max_vms,
                clock=trio.current_time,
                started_s=trio.current_time(),
                loans_enabled=self.fleet.division == "design",
            )
            shares = self.allotment.shares
        self.limiter = WorkspaceLimiter(shares, trio.current_time)

    def is_holder(self, now_s: float) -> bool:
        """Return whether this VM holds the lease; the first VM always does."""
        return self is self.fleet.vms[0]

    def is_isolated(self, now_s: float) -> bool:
        """Return whether the last completed exchange is more than 20 s ago."""
        return now_s - self.last_contact_s > 20.0

    def members(self) -> Sequence[Member]:
        """Return the members that this VM knows, including itself."""
        return tuple(self.roster.values())

    def last_heard_s(self, vm: str) -> float | None:
        """Return when a VM was last contacted or new facts of it arrived, or None if never."""
        return self.last_received_s.get(vm)

    def neighbours(self) -> Sequence[str]:
        """Return the names of the other VMs, those in the same region first."""
        others = [vm for vm in self.fleet.vms if vm is not self]
        return [vm.name for vm in sorted(others, key=lambda vm: vm.region != self.region)]

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, BorrowFailed]:
        """Request a loan from another VM with the simulated latency in each direction."""
        lender = next(other for other in self.fleet.vms if other.name == vm)
        if lender.allotment is None:
            return Err(BorrowFailed("the lender has no allotment"))
        self.fleet.loan_requests += 1
        await trio.sleep(self.one_way_latency_s(lender))
        grant = lender.allotment.lend(request, trio.current_time())
        await trio.sleep(self.one_way_latency_s(lender))
        return Ok(grant)

    def one_way_latency_s(self, other: "SimulatedVm") -> float:
        """Return the one-way latency to another VM."""
        return SAME_REGION_LATENCY_S if other.region == self.region else CROSS_REGION_LATENCY_S

    def apply_exchange(self, other: "SimulatedVm") -> None:
        """Merge the members, facts and replica changes of another VM."""
        now_s = trio.current_time()
        for vm, member in other.roster.items():
            self.roster.setdefault(vm, evolve(member))
        merged_facts = self.facts.merge(other.facts.own(now_s))
        self.last_received_s |= dict.fromkeys(
            (other.name, *(fact.vm for fact in merged_facts)), now_s
        )
        changed_objects = other.replica.delta_since(self.replica.revision)
        self.replica.apply(changed_objects, other.replica.revision)
        self.last_contact_s = now_s

    async def run_exchanges(self) -> None:
        """Exchange with every other VM once a second; the first VM also reads the store."""
        await trio.sleep(self.fleet.rng.uniform(0, EXCHANGE_INTERVAL_S))
        while True:
            store = self.fleet.store
            if self is self.fleet.vms[0] and not store.down:
                self.replica.apply(tuple(store.objects.values()), store.revision)
            for other in self.fleet.vms:
                if other is not self:
                    self.apply_exchange(other)
            await trio.sleep(EXCHANGE_INTERVAL_S)


@define
class WorkspaceCounts:
    """Request counts of one workspace.

    Attributes:
        reference_bucket: Token bucket with the whole rate and burst; a request that it admits is
            within the rate.
        within_rate: Number of requests within the rate.
        refused_within_rate: Number of requests within the rate that the VM refused.
        wait_times_ms: Time that the limiter took for each request.
    """

    reference_bucket: TokenBucket
    sent: int = 0
    refused: int = 0
    within_rate: int = 0
    refused_within_rate: int = 0
    wait_times_ms: list[float] = field(factory=list)


@define
class SimulatedFleet:
    """Fleet of simulated VMs and the requests sent to them.

    Attributes:
        division: ``design`` (shares and loans as in production), ``equal`` (fixed equal split) or
            ``no_loans`` (ledger shares without loans).
    """

    division: str
    workspaces: dict[str, BudgetLimit]
    vm_count: int
    max_vms: int
    rng: random.Random
    store: MemoryStore = field(factory=lambda: MemoryStore(simulate_latency=simulate_store_latency))
    vms: list[SimulatedVm] = field(factory=list)
    counts_by_workspace: dict[str, WorkspaceCounts] = field(factory=dict)
    loan_requests: int = 0
    document: ServiceDocument = field(init=False)
    limits: dict[str, BudgetLimit] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the service document and the limit of each budget."""
        workspaces = tuple(
            WorkspaceLimit(name, limit.rate_per_s, limit.burst)
            for name, limit in self.workspaces.items()
        )
        self.document = ServiceDocument(SERVICE, "", (), (), workspaces, ())
        self.limits = {workspace_budget(SERVICE, w): limit for w, limit in self.workspaces.items()}
        for name, limit in self.workspaces.items():
            reference_bucket = TokenBucket(limit.rate_per_s, limit.burst, limit.burst, 0.0)
            self.counts_by_workspace[name] = WorkspaceCounts(reference_bucket)

    async def start(self, nursery: trio.Nursery) -> None:
        """Create all VMs and start their background tasks."""
        for number in range(self.vm_count):
            self.vms.append(SimulatedVm(self, f"vm-{number}", number % REGIONS))
        for vm in self.vms:
            self.store.add_vm(vm.name)
        for vm in self.vms:
            nursery.start_soon(vm.run_exchanges)
            if vm.allotment is not None:
                nursery.start_soon(vm.allotment.run)

    async def send(
        self,
        workspace: str,
        per_s: float,
        until_s: float,
        choose_vm: Callable[[float], int],
        measure_from_s: float,
    ) -> None:
        """Send requests with exponentially distributed gaps until the given time.

        Args:
            per_s: Mean number of requests per second.
            choose_vm: Returns the index of the VM for a request sent at the given time.
            measure_from_s: Requests sent earlier are not counted.
        """
        async with trio.open_nursery() as nursery:
            while (now_s := trio.current_time()) < until_s:
                vm = self.vms[choose_vm(now_s)]
                nursery.start_soon(self._request, vm, workspace, now_s >= measure_from_s)
                await trio.sleep(self.rng.expovariate(per_s))

    async def _request(self, vm: SimulatedVm, workspace: str, is_measured: bool) -> None:
        sent_s = trio.current_time()
        counts = self.counts_by_workspace[workspace]
        within_rate = counts.reference_bucket.take(1.0, sent_s)
        admitted = await vm.limiter.admit(self.document, workspace, sent_s)
        if not is_measured:
            return
        refused = isinstance(admitted, Err)
        counts.sent += 1
        counts.refused += refused
        counts.within_rate += within_rate
        counts.refused_within_rate += refused and within_rate
        counts.wait_times_ms.append((trio.current_time() - sent_s) * 1000)
