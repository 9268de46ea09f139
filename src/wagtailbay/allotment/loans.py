"""Lend shares to other VMs and borrow from them."""

from collections.abc import Callable, Iterator
from itertools import count
from math import floor, inf, isfinite

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.const import (
    BORROW_HIGH_WATERMARK_S,
    BORROW_INTERVAL_S,
    BORROW_LOW_WATERMARK_S,
    BORROW_TIMEOUT_MS,
    FULL_SHARE_PPM,
    LENDER_SEARCH_INTERVAL_S,
    MAX_LENDER_WAIT_S,
    MAX_LOAN_TERM_MS,
    RATE_LOAN_TERM_MS,
    RENEWAL_LEAD_TIME_S,
    TOKEN_LOAN_MIN_BURST_S,
)
from wagtailbay.allotment.demand import required_ppm
from wagtailbay.allotment.ledger_shares import LedgerShares
from wagtailbay.allotment.lenders import LenderEstimator
from wagtailbay.allotment.models import Loan, VmIncarnation
from wagtailbay.allotment.ports import FleetState, LoanClient
from wagtailbay.limits.const import ROUNDING_TOLERANCE
from wagtailbay.membership import LoanGrant, LoanRequest
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS
from wagtailbay.replica import ChangeSignal

EMPTY_GRANT = LoanGrant(0, 0.0)


@define
class BorrowState:
    """State that paces the loan requests for one budget.

    Attributes:
        pending_requests: Number of unanswered requests.
        requested_tokens: Tokens that the unanswered requests ask for.
        next_request_s: Earliest time of another request while one is pending.
        backoff_until_s: Time until which no lender is searched for.
        lender_due_s: When a lender is expected to have tokens, if none has any now.
    """

    pending_requests: int = 0
    requested_tokens: float = 0.0
    next_request_s: float = 0.0
    backoff_until_s: float = 0.0
    lender_due_s: float = inf

    def expects_tokens(self, now_s: float) -> bool:
        """Return whether a loan may bring tokens soon."""
        return self.pending_requests > 0 or self.lender_due_s <= now_s + MAX_LENDER_WAIT_S

    def record_answer(self, tokens: float) -> None:
        """Record that a request for the given tokens was answered or failed."""
        self.pending_requests -= 1
        self.requested_tokens = (
            max(0.0, self.requested_tokens - tokens) if self.pending_requests else 0.0
        )


@define
class LoanManager:
    """Lends this VM's share and borrows for budgets that run low on tokens.

    Each side measures the loan term on its own clock. The borrower's term starts when it sends the
    request; the lender's starts when it answers and is longer by a margin. The lender therefore
    never reclaims a share that is still in use.

    Attributes:
        outbox: Requests to send, each with the VM to ask.
        outbox_changed: Notified when a request is added to the outbox.
        loan_numbers: Generates numbers that identify this VM's token loans to lenders.
    """

    shares: LedgerShares
    fleet: FleetState
    loan_client: LoanClient
    clock: Callable[[], float]
    lenders: LenderEstimator = field(init=False)
    outbox: list[tuple[str, LoanRequest]] = field(factory=list)
    borrow_states: dict[str, BorrowState] = field(factory=dict)
    outbox_changed: ChangeSignal = field(factory=ChangeSignal)
    loan_numbers: Iterator[int] = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        """Create the estimator of what other VMs can lend."""
        self.lenders = LenderEstimator(self.shares, self.fleet)

    def lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Lend what this VM does not need itself; an invalid request gets an empty grant."""
        account = self.shares.accounts.get(request.budget)
        if (
            account is None
            or not _is_valid_request(request)
            or request.borrower == self.shares.own.vm
        ):
            return EMPTY_GRANT
        account.refill(now_s)
        borrower = VmIncarnation(request.borrower, request.incarnation)
        if request.returned:
            account.release_lent(borrower, request.returned, now_s)
            return EMPTY_GRANT
        if account.floor_only:
            return EMPTY_GRANT
        demand_per_s = self.shares.demand.active_rate(request.budget, now_s)
        # Tokens that this VM needs itself during the term are not lent.
        reserved_tokens = demand_per_s * request.term_ms / 1000
        spare_tokens = max(0.0, account.bucket.level - reserved_tokens)
        if request.with_rate:
            spare_ppm = account.ledger_ppm - account.lent_ppm(now_s, replaced_borrower=borrower)
            spare_ppm -= max(0, required_ppm(account.limit, demand_per_s) - account.floor_ppm)
        else:
            spare_ppm = account.ledger_ppm - account.lent_ppm(now_s)
            # A fraction of a token is useful only to a borrower that asked for no more than that.
            asked_tokens = account.capacity(request.share_ppm)
            if spare_tokens < min(1.0, asked_tokens) - ROUNDING_TOLERANCE:
                return LoanGrant(0, 0.0, spare_tokens)
            spare_ppm = min(spare_ppm, account.share_for_tokens(spare_tokens))
        share_ppm = min(request.share_ppm, spare_ppm)
        if share_ppm <= 0:
            return EMPTY_GRANT
        margin = 1 + self.shares.safeguards.loan_margin
        until_s = now_s + request.term_ms / 1000 * margin
        loan = Loan(share_ppm, until_s, request.with_rate, request.number)
        move_tokens = self.shares.safeguards.move_tokens
        tokens = account.lend(borrower, loan, reserved_tokens, now_s, move_tokens)
        return LoanGrant(share_ppm, tokens, max(0.0, account.bucket.level - reserved_tokens))

    def on_low_tokens(self, budget: str, wanted_tokens: float, now_s: float) -> bool:
        """Queue loan requests for a budget that is low on tokens.

        Args:
            budget: Budget that is low on tokens.
            wanted_tokens: Tokens needed for requests that cannot be served now.
            now_s: Current time.

        Returns:
            Whether a loan may bring tokens soon.
        """
        state = self.borrow_states.setdefault(budget, BorrowState())
        account = self.shares.accounts.get(budget)
        if account is None or account.floor_only or now_s < state.backoff_until_s:
            return state.expects_tokens(now_s)
        if state.pending_requests and now_s < state.next_request_s:
            return True
        requests = self._plan_requests(account, state, wanted_tokens, now_s)
        if requests:
            self.outbox.extend(requests)
            state.pending_requests += len(requests)
            state.next_request_s = now_s + BORROW_INTERVAL_S
            self.outbox_changed.notify()
        return state.expects_tokens(now_s)

    def on_loans_spent(self, budget: str, now_s: float) -> None:
        """Return spent token loans to lenders whose buckets are about to fill up.

        A full lender loses the tokens that it would have gained in the lent capacity.
        """
        account = self.shares.accounts[budget]
        for vm, loans in tuple(account.borrowed.items()):
            if not self.lenders.reaches_capacity(account, vm, now_s):
                continue
            for loan in tuple(loans):
                if not loan.with_rate and loan.until_s > now_s:
                    self._return_loan(account, vm, loan, now_s)

    def _return_loan(self, account: Account, vm: str, loan: Loan, now_s: float) -> None:
        if self.shares.safeguards.release_before_return:
            account.release_borrowed(vm, loan.number, now_s)
        own = self.shares.own
        request = LoanRequest(own.vm, own.incarnation, account.budget, 0, 0, returned=loan.number)
        self.outbox.append((vm, request))
        self.outbox_changed.notify()

    def drain_outbox(self) -> tuple[tuple[str, LoanRequest], ...]:
        """Remove and return the requests to send."""
        requests = tuple(self.outbox)
        self.outbox.clear()
        return requests

    async def send_request(self, vm: str, request: LoanRequest) -> None:
        """Send a request to one VM and apply its grant, unless the term has already ended."""
        if request.returned:
            # If this request is lost, the loan expires at the end of its term.
            await self.loan_client.borrow(vm, request, BORROW_TIMEOUT_MS)
            return
        sent_s = self.clock()
        answer = await self.loan_client.borrow(vm, request, BORROW_TIMEOUT_MS)
        now_s = self.clock()
        account = self.shares.accounts.get(request.budget)
        state = self.borrow_states[request.budget]
        if account is None:
            state.record_answer(0.0)
            return
        state.record_answer(0.0 if request.with_rate else account.capacity(request.share_ppm))
        match answer:
            case Ok(LoanGrant() as grant):
                self._apply_grant(vm, account, request, grant, sent_s, now_s)
            case Err(_):
                self.lenders.record_unreachable(vm, now_s)
        if account.waiting_tokens > 0:
            self.on_low_tokens(request.budget, account.waiting_tokens, now_s)

    def _apply_grant(
        self,
        vm: str,
        account: Account,
        request: LoanRequest,
        grant: LoanGrant,
        sent_s: float,
        now_s: float,
    ) -> None:
        if isfinite(grant.left_tokens):
            self.lenders.record_answer(request.budget, vm, grant, now_s)
        if request.with_rate and grant.share_ppm < request.share_ppm / 2:
            self.lenders.back_off(request.budget, vm, now_s)
        if _is_valid_grant(grant, request):
            until_s = sent_s + request.term_ms / 1000
            loan = Loan(grant.share_ppm, until_s, request.with_rate, request.number)
            account.receive_loan(vm, loan, grant.tokens, now_s)

    async def run(self) -> None:
        """Send queued loan requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for vm, request in self.drain_outbox():
                    nursery.start_soon(self.send_request, vm, request)
                await self.outbox_changed.wait()

    def _plan_requests(
        self, account: Account, state: BorrowState, wanted_tokens: float, now_s: float
    ) -> list[tuple[str, LoanRequest]]:
        """Build the loan requests that cover the missing rate or tokens."""
        demand_per_s = self.shares.demand.expected_rate(account.budget, now_s)
        missing_ppm = self._missing_rate_ppm(account, demand_per_s, now_s)
        if missing_ppm > 0 and not state.pending_requests:
            selected = self.lenders.select_rate_lenders(account, missing_ppm, now_s)
            if selected:
                return [self._rate_request(account, vm, ppm, now_s) for vm, ppm in selected]
        tokens = _tokens_to_request(account, demand_per_s, wanted_tokens, state.requested_tokens)
        if tokens <= 0:
            return []
        selected = self.lenders.select_token_lenders(account, tokens, now_s)
        state.lender_due_s = inf
        if not selected:
            state.backoff_until_s = now_s + LENDER_SEARCH_INTERVAL_S
            state.lender_due_s = self.lenders.tokens_due_s(account, min(1.0, tokens), now_s)
        state.requested_tokens += sum(lender_tokens for _, lender_tokens in selected)
        return [
            self._token_request(account, vm, lender_tokens, now_s) for vm, lender_tokens in selected
        ]

    def _rate_request(
        self, account: Account, vm: str, share_ppm: int, now_s: float
    ) -> tuple[str, LoanRequest]:
        # A rate loan replaces the previous one from the same lender, so its share is included.
        share_ppm = min(
            FULL_SHARE_PPM, share_ppm + account.borrowed_rate_ppm(vm, now_s + RENEWAL_LEAD_TIME_S)
        )
        own = self.shares.own
        request = LoanRequest(own.vm, own.incarnation, account.budget, share_ppm, RATE_LOAN_TERM_MS)
        return vm, request

    def _token_request(
        self, account: Account, vm: str, tokens: float, now_s: float
    ) -> tuple[str, LoanRequest]:
        self.lenders.record_request(account.budget, vm, now_s)
        own, share_ppm = self.shares.own, min(FULL_SHARE_PPM, account.share_for_tokens(tokens))
        return vm, LoanRequest(
            own.vm,
            own.incarnation,
            account.budget,
            share_ppm,
            TOKEN_LOAN_TERM_MS,
            next(self.loan_numbers),
        )

    def _missing_rate_ppm(self, account: Account, demand_per_s: float, now_s: float) -> int:
        """Return the share whose rate is missing for the demand, 0 if only tokens are lent."""
        if account.limit.burst >= TOKEN_LOAN_MIN_BURST_S * account.limit.rate_per_s:
            return 0
        usable_ppm = account.usable_ppm(now_s + RENEWAL_LEAD_TIME_S)
        return max(0, required_ppm(account.limit, demand_per_s) - usable_ppm)


def _tokens_to_request(
    account: Account, demand_per_s: float, wanted_tokens: float, requested_tokens: float
) -> float:
    """Return the tokens to request for waiting requests and for the expected demand."""
    held = account.bucket.level + requested_tokens
    if not wanted_tokens and held >= demand_per_s * BORROW_LOW_WATERMARK_S:
        return 0.0
    # Request whole tokens, because a VM without capacity of its own loses any fraction when the
    # loan ends.
    missing = wanted_tokens + floor(demand_per_s * BORROW_HIGH_WATERMARK_S) - held
    return missing if wanted_tokens or missing >= 1.0 else 0.0


def _is_valid_request(request: LoanRequest) -> bool:
    integers = (request.share_ppm, request.term_ms, request.incarnation, request.returned)
    if not all(type(number) is int for number in integers) or type(request.borrower) is not str:
        return False
    if request.returned:
        return True
    return 0 < request.share_ppm <= FULL_SHARE_PPM and 0 < request.term_ms <= MAX_LOAN_TERM_MS


def _is_valid_grant(grant: LoanGrant, request: LoanRequest) -> bool:
    if type(grant.share_ppm) is not int or not isinstance(grant.tokens, int | float):
        return False
    return 0 < grant.share_ppm <= request.share_ppm and isfinite(grant.tokens) and grant.tokens >= 0
