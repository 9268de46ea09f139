"""Test loans of tokens to a VM whose share of a workspace's rate is used up."""

import random

import trio
from quota.test_share import Fleet, max_admitted_in_window
from result import Err, Ok

from wagtailbay.membership import LoanGrant, PeerError, PeerFailure, VmIdentity
from wagtailbay.quota import TokenBorrower
from wagtailbay.routing import Workspace

WORKSPACE = Workspace("unam", frozenset(), rate_per_s=30.0, burst=30.0)


class LendingFleet(Fleet):
    """Fleet whose VMs lend each other tokens."""

    def __init__(self, vms: int, lending_enabled: bool = True) -> None:
        super().__init__(vms)
        self.lending_enabled, self.calls = lending_enabled, 0
        self.receiving_vms = list(range(vms))
        self.borrowers = [
            TokenBorrower(
                VmIdentity(f"vm-{number}", 1, "", "", "z1"),
                quota,
                self.request_loan,
                lambda own=number: ([f"vm-{n}" for n in range(vms) if n != own], []),
                lambda: self.now_s,
                random.Random(number),
            )
            for number, quota in enumerate(self.quotas)
        ]

    async def request_loan(self, vm: str, request: object, timeout_ms: int):
        """Answer a loan request in place of the peer client; isolated VMs time out."""
        self.calls += 1
        if int(vm.removeprefix("vm-")) in self.isolated_vms:
            return Err(PeerError(vm, PeerFailure.TIMEOUT, "unreachable"))
        quota = self.quotas[int(vm.removeprefix("vm-"))]
        return Ok(LoanGrant(0, quota.lend(WORKSPACE, self.now_s)))

    async def run_load(self, per_s: float, seconds: float) -> tuple[list[float], int]:
        """Send requests to random VMs; return the admission times and the number of requests."""
        rng, admitted, asked = random.Random(3), [], 0
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s = round(self.now_s + 0.01, 4)
            if round(self.now_s * 100) % 50 == 0:
                self.exchange()
            while rng.random() < per_s / 100 / (1 + per_s / 100):
                asked += 1
                number = rng.choice(self.receiving_vms)
                taken = isinstance(self.quotas[number].admit(WORKSPACE, self.now_s), Ok)
                if taken or (
                    self.lending_enabled and await self.borrowers[number].borrow(WORKSPACE)
                ):
                    admitted.append(self.now_s)
        return admitted, asked


class TestTokenBorrower:
    """The callers of a small workspace use all VMs at random."""

    async def test_demand_within_the_rate_is_admitted(self) -> None:
        """Guards against refusals below the rate when requests exhaust a VM's small share."""
        fleet, baseline = LendingFleet(11), LendingFleet(11, lending_enabled=False)
        admitted, asked = await fleet.run_load(13.0, 30)
        alone, _ = await baseline.run_load(13.0, 30)
        assert len(admitted) >= 0.95 * asked
        assert len(alone) <= 0.92 * asked, "shares without loans refuse some requests"

    async def test_moving_demand_gets_no_more_than_its_rate(self) -> None:
        """Guards against lending tokens of shares that two VMs hold while demand moves."""
        fleet = LendingFleet(11)
        admitted: list[float] = []
        for hop in range(8):
            fleet.receiving_vms = [(3 * hop) % 11, (3 * hop + 1) % 11]
            admitted += (await fleet.run_load(45.0, 1.5))[0]
        assert max_admitted_in_window(admitted) <= (30 * 5 + 30) * 1.1 + 20

    async def test_overload_gets_no_more_and_causes_few_loan_requests(self) -> None:
        """Guards against loans that exceed the rate, and a loan request for each refusal."""
        fleet = LendingFleet(11)
        await fleet.run_load(20.0, 5)
        before = fleet.calls
        admitted, asked = await fleet.run_load(300.0, 10)
        assert max_admitted_in_window(admitted) <= (30 * 5 + 30) * 1.1 + 20
        assert fleet.calls - before <= 0.1 * asked

    async def test_isolated_vm_neither_borrows_nor_lends(self) -> None:
        """Guards against an isolated VM that waits for lenders or lends tokens it may not hold."""
        fleet = LendingFleet(3)
        await fleet.run_load(5.0, 3)
        fleet.isolated_vms, fleet.isolated_since_s = {0}, fleet.now_s - 4
        assert not await fleet.borrowers[0].borrow(WORKSPACE)
        assert fleet.quotas[0].lend(WORKSPACE, fleet.now_s) == 0.0

    async def test_request_after_a_failed_borrow_is_refused_at_once(self) -> None:
        """Guards against each refused caller waiting for loan requests that cannot succeed."""
        fleet = LendingFleet(3)
        await fleet.run_load(5.0, 3)
        for quota in fleet.quotas:
            quota.buckets["unam"].level = -20.0
        assert not await fleet.borrowers[0].borrow(WORKSPACE)
        calls = fleet.calls
        assert not await fleet.borrowers[0].borrow(WORKSPACE)
        assert fleet.calls == calls

    async def test_unresponsive_lenders_share_one_timeout(self, autojump_clock) -> None:
        """Guards against a refusal that is delayed by one timeout for each unresponsive VM."""
        fleet = LendingFleet(4)
        await fleet.run_load(5.0, 3)

        async def time_out(vm: str, request: object, timeout_ms: int):
            await trio.sleep(timeout_ms / 1000)
            return Err(PeerError(vm, PeerFailure.TIMEOUT, "no answer"))

        borrower = fleet.borrowers[0]
        borrower.request_loan = time_out
        started_s = trio.current_time()
        assert not await borrower.borrow(WORKSPACE)
        assert trio.current_time() - started_s <= 0.151
