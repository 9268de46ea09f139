"""Lend shares to other VMs and borrow from them."""

from collections.abc import Callable, Iterator
from itertools import count
from math import floor, inf, isfinite

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.const import (
    BORROW_INTERVAL_S,
    BORROW_TIMEOUT_MS,
    LENDER_SOON_S,
    LOAN_TERM_MS,
    MAX_LOAN_TERM_MS,
    NO_LENDER_INTERVAL_S,
    ORDER_BELOW_S,
    ORDER_UP_TO_S,
    RENEW_BEFORE_S,
    TOKENS_ONLY_BURST_S,
    WHOLE_PPM,
)
from wagtailbay.allotment.demand import needed_ppm
from wagtailbay.allotment.holding import Holding
from wagtailbay.allotment.lenders import LenderBoard
from wagtailbay.allotment.models import Holder, Loan
from wagtailbay.allotment.ports import Fleet, Lender
from wagtailbay.limits.const import ROUNDING_TOLERANCE
from wagtailbay.membership import LoanGrant, LoanRequest
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS
from wagtailbay.replica import ChangeSignal

NOTHING_LENT = LoanGrant(0, 0.0)


@define
class BorrowState:
    """Pace the loan requests for one budget.

    Attributes:
        pending: Requests that have no answer yet.
        ordered: The tokens that they ask for.
        next_s: Before this time no further request is sent while one is pending.
        lenderless_until_s: Before this time no lender is looked for.
        due_s: When a lender is expected to have a token, while none has.
    """

    pending: int = 0
    ordered: float = 0.0
    next_s: float = 0.0
    lenderless_until_s: float = 0.0
    due_s: float = inf

    def may_bring_tokens(self, now_s: float) -> bool:
        """Tell whether tokens may come soon."""
        return self.pending > 0 or self.due_s <= now_s + LENDER_SOON_S

    def settle(self, tokens: float) -> None:
        """Count an answer to a request for tokens."""
        self.pending -= 1
        self.ordered = max(0.0, self.ordered - tokens) if self.pending else 0.0


@define
class LoanBook:
    """Lend this VM's own share, and borrow for budgets that are short.

    Both sides count the term on their own clock. The borrower counts from when it sent the
    request, the lender from when it answered and a margin longer, so the lender never takes a
    share back while it is in use.

    Attributes:
        outbox: Requests that are to be sent, with whom to ask.
    """

    holding: Holding
    fleet: Fleet
    lender: Lender
    clock: Callable[[], float]
    lenders: LenderBoard = field(init=False)
    outbox: list[tuple[str, LoanRequest]] = field(factory=list)
    states: dict[str, BorrowState] = field(factory=dict)
    wanted: ChangeSignal = field(factory=ChangeSignal)
    numbers: Iterator[int] = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        """Start without knowledge of the other VMs."""
        self.lenders = LenderBoard(self.holding, self.fleet)

    def lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Lend what this VM does not need itself; a bad request gets nothing."""
        account = self.holding.accounts.get(request.budget)
        if account is None or not _is_valid(request) or request.borrower == self.holding.own.vm:
            return NOTHING_LENT
        account.settle(now_s)
        borrower = Holder(request.borrower, request.incarnation)
        if request.returned:
            account.end_lent(borrower, request.returned, now_s)
            return NOTHING_LENT
        if account.confined:
            return NOTHING_LENT
        demand_per_s = self.holding.demand.own_need(request.budget, now_s)
        # The lender keeps the tokens that it needs itself before the loan ends.
        keep_tokens = demand_per_s * request.term_ms / 1000
        spare_tokens = max(0.0, account.bucket.level - keep_tokens)
        if request.with_rate:
            spare_ppm = account.ledger_ppm - account.lent_ppm(now_s, replaced=borrower)
            spare_ppm -= max(0, needed_ppm(account.limit, demand_per_s) - account.floor_ppm)
        else:
            spare_ppm = account.ledger_ppm - account.lent_ppm(now_s)
            # A part of a token helps only a borrower that asks for just that part.
            asked_tokens = account.capacity(request.share_ppm)
            if spare_tokens < min(1.0, asked_tokens) - ROUNDING_TOLERANCE:
                return LoanGrant(0, 0.0, spare_tokens)
            spare_ppm = min(spare_ppm, account.share_for(spare_tokens))
        share_ppm = min(request.share_ppm, spare_ppm)
        if share_ppm <= 0:
            return NOTHING_LENT
        margin = 1 + self.holding.safeguards.loan_margin
        until_s = now_s + request.term_ms / 1000 * margin
        loan = Loan(share_ppm, until_s, request.with_rate, request.number)
        move = self.holding.safeguards.move_tokens
        tokens = account.lend(borrower, loan, keep_tokens, now_s, move)
        return LoanGrant(share_ppm, tokens, max(0.0, account.bucket.level - keep_tokens))

    def on_short(self, budget: str, wanted: float, now_s: float) -> bool:
        """Ask for loans where tokens run low; returns whether one may bring tokens soon.

        Args:
            budget: The budget that is short.
            wanted: Tokens for requests that cannot be served now.
            now_s: The present time.
        """
        state = self.states.setdefault(budget, BorrowState())
        account = self.holding.accounts.get(budget)
        if account is None or account.confined or now_s < state.lenderless_until_s:
            return state.may_bring_tokens(now_s)
        if state.pending and now_s < state.next_s:
            return True
        requests = self._plan_requests(account, state, wanted, now_s)
        if requests:
            self.outbox.extend(requests)
            state.pending += len(requests)
            state.next_s = now_s + BORROW_INTERVAL_S
            self.wanted.notify()
        return state.may_bring_tokens(now_s)

    def on_spent(self, budget: str, now_s: float) -> None:
        """Return loans whose tokens are spent to lenders that are nearly full.

        The bucket of a lender loses what it would have gained in the room that is lent.
        """
        account = self.holding.accounts[budget]
        for vm, loans in tuple(account.borrowed.items()):
            if not self.lenders.is_full(account, vm, now_s):
                continue
            for loan in tuple(loans):
                if not loan.with_rate and loan.until_s > now_s:
                    self._return(account, vm, loan, now_s)

    def _return(self, account: Account, vm: str, loan: Loan, now_s: float) -> None:
        if self.holding.safeguards.end_returned:
            account.end_borrowed(vm, loan.number, now_s)
        own = self.holding.own
        request = LoanRequest(own.vm, own.incarnation, account.budget, 0, 0, returned=loan.number)
        self.outbox.append((vm, request))
        self.wanted.notify()

    def begin(self) -> tuple[tuple[str, LoanRequest], ...]:
        """Return the requests to send now."""
        requests = tuple(self.outbox)
        self.outbox.clear()
        return requests

    async def fetch(self, vm: str, request: LoanRequest) -> None:
        """Ask one VM and take in what it lends; an answer after the term is worth nothing."""
        if request.returned:
            # If it is lost, the loan ends by its term.
            await self.lender.borrow(vm, request, BORROW_TIMEOUT_MS)
            return
        sent_s = self.clock()
        answer = await self.lender.borrow(vm, request, BORROW_TIMEOUT_MS)
        now_s = self.clock()
        account = self.holding.accounts.get(request.budget)
        state = self.states[request.budget]
        if account is None:
            state.settle(0.0)
            return
        state.settle(0.0 if request.with_rate else account.capacity(request.share_ppm))
        match answer:
            case Ok(LoanGrant() as grant):
                self._take_in(vm, account, request, grant, sent_s, now_s)
            case Err(_):
                self.lenders.note_unreachable(vm, now_s)
        if account.waiting_tokens > 0:
            self.on_short(request.budget, account.waiting_tokens, now_s)

    def _take_in(
        self,
        vm: str,
        account: Account,
        request: LoanRequest,
        grant: LoanGrant,
        sent_s: float,
        now_s: float,
    ) -> None:
        if isfinite(grant.left_tokens):
            self.lenders.note_answer(request.budget, vm, grant, now_s)
        if request.with_rate and grant.share_ppm < request.share_ppm / 2:
            self.lenders.avoid(request.budget, vm, now_s)
        if _is_usable(grant, request):
            until_s = sent_s + request.term_ms / 1000
            loan = Loan(grant.share_ppm, until_s, request.with_rate, request.number)
            account.receive(vm, loan, grant.tokens, now_s)

    async def run(self) -> None:
        """Send the requests for loans."""
        async with trio.open_nursery() as nursery:
            while True:
                for vm, request in self.begin():
                    nursery.start_soon(self.fetch, vm, request)
                await self.wanted.wait()

    def _plan_requests(
        self, account: Account, state: BorrowState, wanted: float, now_s: float
    ) -> list[tuple[str, LoanRequest]]:
        """Choose whom to ask for how much."""
        demand_per_s = self.holding.demand.expected(account.budget, now_s)
        missing_ppm = self._missing_ppm(account, demand_per_s, now_s)
        if missing_ppm > 0 and not state.pending:
            asked = self.lenders.with_rate(account, missing_ppm, now_s)
            if asked:
                return [self._request_rate(account, vm, ppm, now_s) for vm, ppm in asked]
        tokens = _missing_tokens(account, demand_per_s, wanted, state.ordered)
        if tokens <= 0:
            return []
        asked = self.lenders.with_tokens(account, tokens, now_s)
        state.due_s = inf
        if not asked:
            state.lenderless_until_s = now_s + NO_LENDER_INTERVAL_S
            state.due_s = self.lenders.due_s(account, min(1.0, tokens), now_s)
        state.ordered += sum(part for _, part in asked)
        return [self._request_tokens(account, vm, part, now_s) for vm, part in asked]

    def _request_rate(
        self, account: Account, vm: str, share_ppm: int, now_s: float
    ) -> tuple[str, LoanRequest]:
        # Loans with rate of one lender replace each other, so the former one is asked for again.
        share_ppm = min(WHOLE_PPM, share_ppm + account.borrowed_from(vm, now_s + RENEW_BEFORE_S))
        own = self.holding.own
        request = LoanRequest(own.vm, own.incarnation, account.budget, share_ppm, LOAN_TERM_MS)
        return vm, request

    def _request_tokens(
        self, account: Account, vm: str, tokens: float, now_s: float
    ) -> tuple[str, LoanRequest]:
        self.lenders.note_order(account.budget, vm, now_s)
        own, share_ppm = self.holding.own, min(WHOLE_PPM, account.share_for(tokens))
        return vm, LoanRequest(
            own.vm,
            own.incarnation,
            account.budget,
            share_ppm,
            TOKEN_LOAN_TERM_MS,
            next(self.numbers),
        )

    def _missing_ppm(self, account: Account, demand_per_s: float, now_s: float) -> int:
        """Return the share whose rate the demand here lacks, where rates are lent."""
        if account.limit.burst >= TOKENS_ONLY_BURST_S * account.limit.rate_per_s:
            return 0
        usable_ppm = account.usable_ppm(now_s + RENEW_BEFORE_S)
        return max(0, needed_ppm(account.limit, demand_per_s) - usable_ppm)


def _missing_tokens(account: Account, demand_per_s: float, wanted: float, ordered: float) -> float:
    """Return the tokens to order: for requests that wait, and for the demand until the next."""
    held = account.bucket.level + ordered
    if not wanted and held >= demand_per_s * ORDER_BELOW_S:
        return 0.0
    # Whole tokens, because a VM without room of its own loses the rest at the end of the loan.
    missing = wanted + floor(demand_per_s * ORDER_UP_TO_S) - held
    return missing if wanted or missing >= 1.0 else 0.0


def _is_valid(request: LoanRequest) -> bool:
    numbers = (request.share_ppm, request.term_ms, request.incarnation, request.returned)
    if not all(type(number) is int for number in numbers) or type(request.borrower) is not str:
        return False
    if request.returned:
        return True
    return 0 < request.share_ppm <= WHOLE_PPM and 0 < request.term_ms <= MAX_LOAN_TERM_MS


def _is_usable(grant: LoanGrant, request: LoanRequest) -> bool:
    if type(grant.share_ppm) is not int or not isinstance(grant.tokens, int | float):
        return False
    return 0 < grant.share_ppm <= request.share_ppm and isfinite(grant.tokens) and grant.tokens >= 0
