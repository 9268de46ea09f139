"""Lend shares to other VMs and borrow from them."""

from collections.abc import Callable
from math import ceil, floor, isfinite

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.const import (
    AVOID_LENDER_S,
    BORROW_BACKOFF_S,
    BORROW_INTERVAL_S,
    BORROW_TIMEOUT_MS,
    DEMAND_HEADROOM,
    FAILURES_BEFORE_BACKOFF,
    FEW_TOKENS,
    LOAN_TERM_MS,
    MAX_BORROW_BACKOFF_S,
    MAX_LENDERS,
    MAX_LOAN_TERM_MS,
    RENEW_BEFORE_S,
    WHOLE_PPM,
)
from wagtailbay.allotment.demand import known_demand
from wagtailbay.allotment.holding import Holding
from wagtailbay.allotment.models import Holder, Loan
from wagtailbay.allotment.ports import Fleet, Lender
from wagtailbay.limits.const import ROUNDING
from wagtailbay.membership import LoanGrant, LoanRequest
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS
from wagtailbay.replica import ChangeSignal

NOTHING_LENT = LoanGrant(0, 0.0)


@define
class BorrowState:
    """Pace the loan requests for one budget.

    Attributes:
        pending: Requests that have no answer yet.
        next_s: Before this time no further request is sent.
        failures: Successive requests that brought nothing.
        backoff_s: The pause after a few of them.
    """

    pending: int = 0
    failures: int = 0
    next_s: float = 0.0
    backoff_s: float = BORROW_BACKOFF_S

    def settle(self, lent: bool, now_s: float) -> None:
        """Count an answer."""
        self.pending -= 1
        if lent:
            self.backoff_s, self.failures = BORROW_BACKOFF_S, 0
            self.next_s = now_s + BORROW_INTERVAL_S
            return
        self.failures += 1
        if self.failures < FAILURES_BEFORE_BACKOFF:
            return
        self.next_s = now_s + self.backoff_s
        self.backoff_s = min(MAX_BORROW_BACKOFF_S, 2 * self.backoff_s)


@define
class LoanBook:
    """Lend this VM's own share, and borrow for budgets that are short.

    Both sides count the term on their own clock. The borrower counts from when it sent the
    request, the lender from when it answered and a margin longer, so the lender never takes a
    share back while it is in use.

    Attributes:
        short: The budgets for which loans are to be asked.
        avoided: Until when a VM that lent nothing for a budget is not asked again.
    """

    holding: Holding
    fleet: Fleet
    lender: Lender
    clock: Callable[[], float]
    short: dict[str, None] = field(factory=dict)
    states: dict[str, BorrowState] = field(factory=dict)
    wanted: ChangeSignal = field(factory=ChangeSignal)
    avoided: dict[tuple[str, str], float] = field(factory=dict)

    def lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Lend what this VM does not need itself; a bad request gets nothing."""
        account = self.holding.accounts.get(request.budget)
        if account is None or not _is_valid(request) or request.borrower == self.holding.own.vm:
            return NOTHING_LENT
        account.settle(now_s)
        if account.confined:
            return NOTHING_LENT
        demand_per_s = self.holding.demand.rate(request.budget, now_s)
        # The lender keeps the tokens that it needs itself before the loan ends.
        keep_tokens = demand_per_s * request.term_ms / 1000
        borrower = Holder(request.borrower, request.incarnation)
        spare_ppm = account.ledger_ppm - account.lent_ppm(now_s, but=borrower)
        if request.with_rate:
            spare_ppm -= max(0, _needed_ppm(account, demand_per_s) - account.floor_ppm)
        elif account.bucket.level - keep_tokens < 1.0 - ROUNDING:
            return NOTHING_LENT
        share_ppm = min(request.share_ppm, spare_ppm)
        if share_ppm <= 0:
            return NOTHING_LENT
        margin = 1 + self.holding.safeguards.loan_margin
        until_s = now_s + request.term_ms / 1000 * margin
        loan = Loan(share_ppm, until_s, request.with_rate)
        move = self.holding.safeguards.move_tokens
        return LoanGrant(share_ppm, account.lend(borrower, loan, keep_tokens, now_s, move))

    def on_short(self, budget: str, now_s: float) -> bool:
        """Note that a budget runs low; returns whether a loan may bring tokens soon."""
        state = self.states.get(budget)
        if state is not None:
            if state.pending:
                return True
            if now_s < state.next_s:
                return False
        if budget in self.short:
            return True
        if not self._missing_ppm(budget, now_s):
            return False
        self.short[budget] = None
        self.wanted.notify()
        return True

    def plan_requests(self, budget: str, now_s: float) -> tuple[tuple[str, LoanRequest], ...]:
        """Choose which neighbours to ask for how much."""
        missing_ppm = self._missing_ppm(budget, now_s)
        account = self.holding.accounts.get(budget)
        if account is None or missing_ppm <= 0:
            return ()
        with_rate = self._lacks_rate(account, now_s)
        term_ms = LOAN_TERM_MS if with_rate else TOKEN_LOAN_TERM_MS
        own = self.holding.own
        requests = []
        for vm, spare_ppm in self._lenders(account, missing_ppm, with_rate, now_s):
            share_ppm = min(missing_ppm, spare_ppm)
            missing_ppm -= share_ppm
            # Loans of one lender replace each other, so the former one is asked for again.
            share_ppm += account.borrowed_from(vm, now_s + RENEW_BEFORE_S)
            requests.append((vm, LoanRequest(own.vm, own.incarnation, budget, share_ppm, term_ms)))
            if missing_ppm <= 0:
                break
        return tuple(requests)

    def begin(self, budget: str, now_s: float) -> tuple[tuple[str, LoanRequest], ...]:
        """Take a budget off the list of short ones and return the requests to send."""
        self.short.pop(budget, None)
        requests = self.plan_requests(budget, now_s)
        state = self.states.setdefault(budget, BorrowState())
        state.pending += len(requests)
        if not requests:
            state.pending += 1
            state.failures = FAILURES_BEFORE_BACKOFF
            state.settle(False, now_s)
        return requests

    async def fetch(self, vm: str, request: LoanRequest) -> None:
        """Ask one VM and take in what it lends; an answer after the term is worth nothing."""
        sent_s = self.clock()
        answer = await self.lender.borrow(vm, request, BORROW_TIMEOUT_MS)
        now_s = self.clock()
        match answer:
            case Ok(LoanGrant() as grant) if _is_usable(grant, request):
                until_s = sent_s + request.term_ms / 1000
                loan = Loan(grant.share_ppm, until_s, request.with_rate)
                account = self.holding.accounts.get(request.budget)
                lent = account is not None and account.receive(vm, loan, grant.tokens, now_s)
            case Ok(_) | Err(_):
                lent = False
        if not lent or grant.share_ppm < request.share_ppm / 2:
            self.avoided[(request.budget, vm)] = now_s + AVOID_LENDER_S
        elif not request.with_rate:
            # Until the lender counts the loan as ended, another one would replace it.
            self.avoided[(request.budget, vm)] = now_s + 1.2 * request.term_ms / 1000
        self.states[request.budget].settle(lent, now_s)
        if not lent:
            self.on_short(request.budget, now_s)

    async def run(self) -> None:
        """Borrow whenever a budget is short."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self.short:
                    await self.wanted.wait()
                for budget in tuple(self.short):
                    for vm, request in self.begin(budget, self.clock()):
                        nursery.start_soon(self.fetch, vm, request)

    def _lacks_rate(self, account: Account, now_s: float) -> bool:
        """Tell whether the demand here is more than the own rate, by more than a few tokens."""
        demand_per_s = self.holding.demand.rate(account.budget, now_s)
        if account.is_small and demand_per_s * LOAN_TERM_MS / 1000 < FEW_TOKENS:
            return False
        return _needed_ppm(account, demand_per_s) > account.usable_ppm(now_s + RENEW_BEFORE_S)

    def _missing_ppm(self, budget: str, now_s: float) -> int:
        """Return the share to borrow: for the demand, or for tokens where none is left."""
        account = self.holding.accounts.get(budget)
        if account is None or account.confined:
            return 0
        soon_s = now_s + RENEW_BEFORE_S
        demand_per_s = self.holding.demand.rate(budget, now_s)
        missing_ppm = 0
        if self._lacks_rate(account, now_s):
            missing_ppm = _needed_ppm(account, demand_per_s) - account.usable_ppm(soon_s)
        if account.bucket.level < 1.0:
            # Parts of a token would be lost at the end of the loan.
            tokens = 1.0 + floor(demand_per_s * TOKEN_LOAN_TERM_MS / 1000)
            missing_ppm = max(missing_ppm, account.share_for(tokens))
        return max(0, missing_ppm)

    def _lenders(
        self, account: Account, missing_ppm: int, with_rate: bool, now_s: float
    ) -> tuple[tuple[str, int], ...]:
        """Return the neighbours with most to spare; one that can lend all comes first if near."""
        granted = self.holding.granted_to_others(account.budget)
        demand = {vm: d.per_s for (vm, _), d in known_demand(self.holding.facts, now_s).items()}
        spare = []
        for vm in self.fleet.neighbours():
            if self.avoided.get((account.budget, vm), now_s) > now_s:
                continue
            spare_ppm = granted.get(vm, 0) - account.borrowed_from(vm, now_s + RENEW_BEFORE_S)
            if with_rate:
                demand_per_s = demand.get(vm, {}).get(account.budget, 0.0)
                spare_ppm -= _needed_ppm(account, demand_per_s)
            if spare_ppm > 0:
                spare.append((vm, spare_ppm))
        enough = next((entry for entry in spare if entry[1] >= missing_ppm), None)
        if enough is not None:
            return (enough,)
        return tuple(sorted(spare, key=lambda entry: -entry[1])[:MAX_LENDERS])


def _needed_ppm(account: Account, demand_per_s: float) -> int:
    rate_per_s = max(account.limit.rate_per_s, 1e-9)
    return min(WHOLE_PPM, ceil(DEMAND_HEADROOM * demand_per_s / rate_per_s * WHOLE_PPM))


def _is_valid(request: LoanRequest) -> bool:
    numbers = (request.share_ppm, request.term_ms, request.incarnation)
    if not all(type(number) is int for number in numbers) or type(request.borrower) is not str:
        return False
    return 0 < request.share_ppm <= WHOLE_PPM and 0 < request.term_ms <= MAX_LOAN_TERM_MS


def _is_usable(grant: LoanGrant, request: LoanRequest) -> bool:
    if type(grant.share_ppm) is not int or not isinstance(grant.tokens, int | float):
        return False
    return 0 < grant.share_ppm <= request.share_ppm and isfinite(grant.tokens) and grant.tokens >= 0
