"""Hold this VM's share and tokens of one budget."""

from collections.abc import Callable
from math import ceil

from attrs import define, field

from wagtailbay.allotment.const import (
    FULL_SHARE_PPM,
    LEDGER_TOTAL_PPM,
    LOOP_STALL_TIMEOUT_S,
    REFILL_MARGIN,
)
from wagtailbay.allotment.models import Loan, VmIncarnation
from wagtailbay.limits import BudgetLimit, TokenBucket
from wagtailbay.limits.const import ROUNDING_TOLERANCE
from wagtailbay.replica import ChangeSignal


def never(now_s: float) -> bool:
    """Answer no."""
    return False


@define
class Account:
    """Divide this VM's share into ledger share, floor and loans, and keep its tokens with it.

    The sum of all VMs' tokens never exceeds the burst because at each instant a VM's level is at
    most burst x share, the shares never sum to more than the whole, and a share that grows brings
    only tokens which another VM gave up. Every change of the share first counts the tokens gained
    so far at the former rate.

    Attributes:
        lent: Loans to each borrower as this VM counts them. Loans with rate to one borrower replace
            each other: the largest counts, not the sum. Loans of tokens add up.
        borrowed: Loans of each lender, counted in the same way.
        on_spent: Called when the tokens of loans are spent.
        refill_margin: The part by which tokens are gained more slowly than at the rate.
        waiting_tokens: Tokens that waiting requests want.
        is_confined: Tells whether only the floor may be used now.
        refresh: Applies newer ledgers, which may set this account's share, before tokens are used.
        on_short: Called when tokens run low, with the tokens wanted at once; tells whether a loan
            may come.
    """

    budget: str
    limit: BudgetLimit
    started_s: float
    floor_ppm: int = 0
    ledger_ppm: int = 0
    is_floor_only: Callable[[float], bool] = never
    sync_ledgers: Callable[[float], None] = lambda now_s: None
    on_low_tokens: Callable[[str, float, float], bool] = lambda budget, wanted, now_s: False
    lent: dict[VmIncarnation, list[Loan]] = field(factory=dict)
    borrowed: dict[str, list[Loan]] = field(factory=dict)
    changed: ChangeSignal = field(factory=ChangeSignal)
    on_loans_spent: Callable[[str, float], None] = lambda budget, now_s: None
    refill_margin: float = REFILL_MARGIN
    waiting_tokens: float = 0.0
    bucket: TokenBucket = field(init=False)
    floor_only: bool = False

    def __attrs_post_init__(self) -> None:
        """Start without tokens, at the floor's rate since the start of the process."""
        ledger_ppm, self.ledger_ppm = self.ledger_ppm, 0
        rate_per_s, capacity = self._rate_and_capacity(self.started_s)
        self.bucket = TokenBucket(rate_per_s, capacity, 0.0, self.started_s)
        self.ledger_ppm = ledger_ppm

    @property
    def floor_below_one_token(self) -> bool:
        """Tell whether a part of the floor holds less than one token."""
        return self.limit.burst * self.floor_ppm < FULL_SHARE_PPM

    def usable_ppm(self, now_s: float) -> int:
        """Return the share whose rate this VM may use."""
        floor_ppm = 0 if self.floor_disabled else self.floor_ppm
        if self.floor_only:
            return floor_ppm
        lent_ppm = sum(_rate_loan_ppm(loans, now_s) for loans in self.lent.values())
        borrowed_ppm = sum(_rate_loan_ppm(loans, now_s) for loans in self.borrowed.values())
        return max(0, self.ledger_ppm - lent_ppm) + floor_ppm + borrowed_ppm

    def capacity_ppm(self, now_s: float) -> int:
        """Return the share whose burst this VM may hold."""
        floor_ppm = 0 if self.floor_disabled else self.floor_ppm
        if self.floor_only:
            return floor_ppm
        own_ppm = max(0, self.ledger_ppm - self.lent_ppm(now_s))
        return own_ppm + floor_ppm + self.borrowed_ppm(now_s)

    def lent_ppm(self, now_s: float, replaced_borrower: VmIncarnation | None = None) -> int:
        """Return the share lent, without the loans that a further one to a borrower replaces."""
        return sum(
            _token_loans_ppm(loans, now_s)
            + (0 if borrower == replaced_borrower else _rate_loan_ppm(loans, now_s))
            for borrower, loans in self.lent.items()
        )

    def borrowed_ppm(self, now_s: float) -> int:
        """Return the share borrowed from all lenders."""
        return sum(
            _token_loans_ppm(loans, now_s) + _rate_loan_ppm(loans, now_s)
            for loans in self.borrowed.values()
        )

    def borrowed_rate_ppm(self, lender: str, now_s: float) -> int:
        """Return the share borrowed with its rate from one lender."""
        return _rate_loan_ppm(self.borrowed.get(lender, []), now_s)

    def capacity(self, share_ppm: float) -> float:
        """Return the tokens that a ledger share may hold."""
        return self.limit.burst * share_ppm / self._total_ppm

    def rate_per_s(self, share_ppm: float) -> float:
        """Return the tokens that a ledger share gains each second."""
        rate_per_s = self.limit.rate_per_s / (1 + self.refill_margin)
        return rate_per_s * share_ppm / self._total_ppm

    def share_for_tokens(self, tokens: float) -> int:
        """Return the ledger share, in parts per million, that may hold the tokens."""
        return ceil(self._total_ppm * tokens / max(self.limit.burst, 1e-9))

    @property
    def floor_disabled(self) -> bool:
        """Tell whether the floor reserve belongs to the ledger shares.

        Parts of less than one token could never admit a request, so neither burst nor rate of the
        reserve would serve anyone.
        """
        return self.floor_ppm > 0 and self.floor_below_one_token

    @property
    def _total_ppm(self) -> int:
        return LEDGER_TOTAL_PPM if self.floor_disabled else FULL_SHARE_PPM

    def _rate_and_capacity(self, at_s: float) -> tuple[float, float]:
        return self.rate_per_s(self.usable_ppm(at_s)), self.capacity(self.capacity_ppm(at_s))

    def refill(self, now_s: float) -> None:
        """Apply what has changed and count the tokens gained so far."""
        self.sync_ledgers(now_s)
        self._refill_bucket(now_s)

    def _refill_bucket(self, now_s: float) -> None:
        """Count the tokens gained so far, at the rate of each part of the time."""
        now_s = max(now_s, self.bucket.updated_s)
        was_floor_only, self.floor_only = self.floor_only, self.is_floor_only(now_s)
        stalled = now_s - self.bucket.updated_s > LOOP_STALL_TIMEOUT_S
        if stalled or self.floor_only or was_floor_only:
            floor_ppm = 0 if self.floor_disabled else self.floor_ppm
            self.bucket.rate_per_s = min(self.bucket.rate_per_s, self.rate_per_s(floor_ppm))
        elif self.lent or self.borrowed:
            self._expire_loans(now_s)
        else:
            # Nothing that the bucket's measures depend on has changed since the last call.
            self.bucket.refill(now_s)
            return
        self._resize_bucket(now_s)

    def _resize_bucket(self, now_s: float) -> None:
        self.bucket.resize(*self._rate_and_capacity(now_s), now_s)

    def _expire_loans(self, now_s: float) -> None:
        since_s = self.bucket.updated_s
        all_loans = (*self.lent.values(), *self.borrowed.values())
        ends = {loan.until_s for loans in all_loans for loan in loans}
        for end_s in sorted(end_s for end_s in ends if since_s < end_s <= now_s):
            self.bucket.resize(*self._rate_and_capacity(end_s), end_s)
        self.lent = _active_loans(self.lent, now_s)
        self.borrowed = _active_loans(self.borrowed, now_s)

    def set_share(self, ledger_ppm: int, floor_ppm: int, now_s: float) -> None:
        """Apply what the ledger and the fleet's size give."""
        self._refill_bucket(now_s)
        has_grown = ledger_ppm > self.ledger_ppm
        self.ledger_ppm, self.floor_ppm = ledger_ppm, floor_ppm
        self._resize_bucket(now_s)
        if has_grown:
            self.changed.notify()

    def set_limit(self, limit: BudgetLimit, now_s: float) -> None:
        """Apply the budget's limit."""
        if limit != self.limit:
            self._refill_bucket(now_s)
            self.limit = limit
            self._resize_bucket(now_s)

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens if there are enough."""
        self.refill(now_s)
        taken = self.bucket.take(amount, now_s)
        if not taken:
            self.on_low_tokens(self.budget, max(amount, self.waiting_tokens), now_s)
        elif self.bucket.level < max(amount, 0.5 * self.bucket.capacity):
            self.on_low_tokens(self.budget, 0.0, now_s)
        if taken and self.borrowed and self.bucket.level < ROUNDING_TOLERANCE:
            self.on_loans_spent(self.budget, now_s)
        return taken

    def charge(self, amount: float, now_s: float) -> None:
        """Take tokens that are already spent; the level may become negative."""
        self.refill(now_s)
        self.bucket.charge(amount, now_s)
        if self.bucket.level < 0.5 * self.bucket.capacity:
            self.on_low_tokens(self.budget, 0.0, now_s)

    def level(self, now_s: float) -> float:
        """Return the tokens held."""
        self.refill(now_s)
        return self.bucket.level

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until the own rate has brought the tokens; infinity if it never will."""
        self.refill(now_s)
        return self.bucket.wait_s(amount)

    def may_borrow(self, amount: float, now_s: float) -> bool:
        """Tell whether a loan may bring tokens soon, and ask for one."""
        return self.on_low_tokens(self.budget, amount + self.waiting_tokens, now_s)

    def lend(
        self,
        borrower: VmIncarnation,
        loan: Loan,
        reserved_tokens: float,
        now_s: float,
        move_tokens: bool = True,
    ) -> float:
        """Lend a share at once and return the tokens that go with it.

        Only a share beyond the loans that this one replaces carries tokens, at most its part of
        the burst, so that tokens on their way are always backed by a share that nobody uses.
        """
        self.refill(now_s)
        loans = self.lent.setdefault(borrower, [])
        replaced_ppm = _rate_loan_ppm(loans, now_s) if loan.with_rate else 0
        added_ppm = max(0, loan.share_ppm - replaced_ppm)
        spare = max(0.0, self.bucket.level - reserved_tokens)
        tokens = min(self.capacity(added_ppm), spare)
        if move_tokens:
            self.bucket.level -= tokens
        loans.append(loan)
        self._refill_bucket(now_s)
        return tokens

    def release_lent(self, borrower: VmIncarnation, number: int, now_s: float) -> None:
        """Take back the room of a loan that the borrower returned; a loan not known is none."""
        self.refill(now_s)
        loans = self.lent.get(borrower, [])
        self.lent[borrower] = [loan for loan in loans if loan.with_rate or loan.number != number]
        self._resize_bucket(now_s)

    def release_borrowed(self, lender: str, number: int, now_s: float) -> None:
        """Give up the room of a loan."""
        self.refill(now_s)
        loans = self.borrowed.get(lender, [])
        self.borrowed[lender] = [loan for loan in loans if loan.number != number]
        self._resize_bucket(now_s)

    def receive_loan(self, lender: str, loan: Loan, tokens: float, now_s: float) -> bool:
        """Take in a loan unless its term has ended; returns whether it counts."""
        self.refill(now_s)
        if loan.until_s <= now_s or self.floor_only:
            return False
        self.borrowed.setdefault(lender, []).append(loan)
        self._refill_bucket(now_s)
        self.bucket.add_tokens(min(tokens, self.capacity(loan.share_ppm)))
        self.changed.notify()
        return True


def _rate_loan_ppm(loans: list[Loan], now_s: float) -> int:
    return max(
        (loan.share_ppm for loan in loans if loan.until_s > now_s and loan.with_rate), default=0
    )


def _token_loans_ppm(loans: list[Loan], now_s: float) -> int:
    return sum(loan.share_ppm for loan in loans if loan.until_s > now_s and not loan.with_rate)


def _active_loans(loans: dict, now_s: float) -> dict:
    kept = {key: [loan for loan in each if loan.until_s > now_s] for key, each in loans.items()}
    return {key: each for key, each in kept.items() if each}
