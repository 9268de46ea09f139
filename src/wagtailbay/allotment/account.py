"""Hold this VM's share and tokens of one budget."""

from collections.abc import Callable
from math import ceil

from attrs import define, field

from wagtailbay.allotment.const import LEDGER_PPM, MAX_LOOP_GAP_S, WHOLE_PPM
from wagtailbay.allotment.models import Holder, Loan
from wagtailbay.limits import BudgetLimit, TokenBucket
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
        lent: Loans to each borrower as this VM counts them. Loans to one borrower replace each
            other: the largest counts, not the sum.
        borrowed: Loans of each lender, counted in the same way.
        is_confined: Tells whether only the floor may be used now.
        refresh: Applies newer ledgers, which may set this account's share, before tokens are used.
        on_short: Called when tokens run low.
    """

    budget: str
    limit: BudgetLimit
    started_s: float
    floor_ppm: int = 0
    ledger_ppm: int = 0
    is_confined: Callable[[float], bool] = never
    refresh: Callable[[float], None] = lambda now_s: None
    on_short: Callable[[str, float], bool] = lambda budget, now_s: False
    lent: dict[Holder, list[Loan]] = field(factory=dict)
    borrowed: dict[str, list[Loan]] = field(factory=dict)
    changed: ChangeSignal = field(factory=ChangeSignal)
    bucket: TokenBucket = field(init=False)
    confined: bool = False

    def __attrs_post_init__(self) -> None:
        """Start without tokens, at the floor's rate since the start of the process."""
        ledger_ppm, self.ledger_ppm = self.ledger_ppm, 0
        rate_per_s, capacity = self._measures(self.started_s)
        self.bucket = TokenBucket(rate_per_s, capacity, 0.0, self.started_s)
        self.ledger_ppm = ledger_ppm

    @property
    def is_small(self) -> bool:
        """Tell whether a part of the floor holds less than one token."""
        return self.limit.burst * self.floor_ppm < WHOLE_PPM

    def usable_ppm(self, now_s: float) -> int:
        """Return the share whose rate this VM may use."""
        if self.confined:
            return self.floor_ppm
        own_ppm = max(0, self.ledger_ppm - self.lent_ppm(now_s, rate_only=True))
        return own_ppm + self.floor_ppm + self.borrowed_ppm(now_s, rate_only=True)

    def room_ppm(self, now_s: float) -> int:
        """Return the share whose burst this VM may hold."""
        floor_ppm = 0 if self._floor_holds_none else self.floor_ppm
        if self.confined:
            return floor_ppm
        own_ppm = max(0, self.ledger_ppm - self.lent_ppm(now_s))
        return own_ppm + floor_ppm + self.borrowed_ppm(now_s)

    def lent_ppm(self, now_s: float, but: Holder | None = None, rate_only: bool = False) -> int:
        """Return the share lent to all borrowers but one."""
        return sum(
            _largest(loans, now_s, rate_only)
            for borrower, loans in self.lent.items()
            if borrower != but
        )

    def borrowed_ppm(self, now_s: float, rate_only: bool = False) -> int:
        """Return the share borrowed from all lenders."""
        return sum(_largest(loans, now_s, rate_only) for loans in self.borrowed.values())

    def borrowed_from(self, lender: str, now_s: float) -> int:
        """Return the share borrowed from one lender."""
        return _largest(self.borrowed.get(lender, []), now_s)

    def capacity(self, share_ppm: float) -> float:
        """Return the tokens that a ledger share may hold."""
        whole_ppm = LEDGER_PPM if self._floor_holds_none else WHOLE_PPM
        return self.limit.burst * share_ppm / whole_ppm

    def share_for(self, tokens: float) -> int:
        """Return the ledger share, in parts per million, that may hold the tokens."""
        whole_ppm = LEDGER_PPM if self._floor_holds_none else WHOLE_PPM
        return ceil(whole_ppm * tokens / max(self.limit.burst, 1e-9))

    @property
    def _floor_holds_none(self) -> bool:
        # Parts of less than one token could never admit a request, so the burst of the whole
        # reserve belongs to the ledger shares of a small budget.
        return self.floor_ppm > 0 and self.is_small

    def _measures(self, at_s: float) -> tuple[float, float]:
        rate_per_s = self.limit.rate_per_s * self.usable_ppm(at_s) / WHOLE_PPM
        return rate_per_s, self.capacity(self.room_ppm(at_s))

    def settle(self, now_s: float) -> None:
        """Apply what has changed and count the tokens gained so far."""
        self.refresh(now_s)
        self._settle(now_s)

    def _settle(self, now_s: float) -> None:
        """Count the tokens gained so far, at the rate of each part of the time."""
        now_s = max(now_s, self.bucket.updated_s)
        was_confined, self.confined = self.confined, self.is_confined(now_s)
        gap = now_s - self.bucket.updated_s > MAX_LOOP_GAP_S
        if gap or self.confined or was_confined:
            floor_rate_per_s = self.limit.rate_per_s * self.floor_ppm / WHOLE_PPM
            self.bucket.rate_per_s = min(self.bucket.rate_per_s, floor_rate_per_s)
        elif self.lent or self.borrowed:
            self._settle_ended_loans(now_s)
        else:
            # Nothing that the bucket's measures depend on has changed since the last call.
            self.bucket.refill(now_s)
            return
        self._measure(now_s)

    def _measure(self, now_s: float) -> None:
        self.bucket.resize(*self._measures(now_s), now_s)

    def _settle_ended_loans(self, now_s: float) -> None:
        since_s = self.bucket.updated_s
        both = (*self.lent.values(), *self.borrowed.values())
        ends = {loan.until_s for loans in both for loan in loans}
        for end_s in sorted(end_s for end_s in ends if since_s < end_s <= now_s):
            self.bucket.resize(*self._measures(end_s), end_s)
        self.lent = _unended(self.lent, now_s)
        self.borrowed = _unended(self.borrowed, now_s)

    def set_share(self, ledger_ppm: int, floor_ppm: int, now_s: float) -> None:
        """Apply what the ledger and the fleet's size give."""
        self._settle(now_s)
        grown = ledger_ppm > self.ledger_ppm
        self.ledger_ppm, self.floor_ppm = ledger_ppm, floor_ppm
        self._measure(now_s)
        if grown:
            self.changed.notify()

    def set_limit(self, limit: BudgetLimit, now_s: float) -> None:
        """Apply the budget's limit."""
        if limit != self.limit:
            self._settle(now_s)
            self.limit = limit
            self._measure(now_s)

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens if there are enough."""
        self.settle(now_s)
        taken = self.bucket.take(amount, now_s)
        if not taken or self.bucket.level < max(amount, 0.25 * self.bucket.capacity):
            self.on_short(self.budget, now_s)
        return taken

    def charge(self, amount: float, now_s: float) -> None:
        """Take tokens that are already spent; the level may become negative."""
        self.settle(now_s)
        self.bucket.charge(amount, now_s)
        if self.bucket.level < 0.25 * self.bucket.capacity:
            self.on_short(self.budget, now_s)

    def level(self, now_s: float) -> float:
        """Return the tokens held."""
        self.settle(now_s)
        return self.bucket.level

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until the own rate has brought the tokens; infinity if it never will."""
        self.settle(now_s)
        return self.bucket.wait_s(amount)

    def may_borrow(self, now_s: float) -> bool:
        """Tell whether a loan may bring tokens soon, and ask for one."""
        return self.on_short(self.budget, now_s)

    def lend(
        self, borrower: Holder, loan: Loan, keep_tokens: float, now_s: float, move: bool = True
    ) -> float:
        """Lend a share at once and return the tokens that go with it.

        Only a share beyond earlier loans to the same borrower carries tokens, at most its part of
        the burst, so that tokens on their way are always backed by a share that nobody uses.
        """
        self.settle(now_s)
        loans = self.lent.setdefault(borrower, [])
        added_ppm = max(0, loan.share_ppm - _largest(loans, now_s))
        spare = max(0.0, self.bucket.level - keep_tokens)
        tokens = min(self.capacity(added_ppm), spare)
        if move:
            self.bucket.level -= tokens
        loans.append(loan)
        self._settle(now_s)
        return tokens

    def receive(self, lender: str, loan: Loan, tokens: float, now_s: float) -> bool:
        """Take in a loan unless its term has ended; returns whether it counts."""
        self.settle(now_s)
        if loan.until_s <= now_s or self.confined:
            return False
        self.borrowed.setdefault(lender, []).append(loan)
        self._settle(now_s)
        self.bucket.give(min(tokens, self.capacity(loan.share_ppm)))
        self.changed.notify()
        return True


def _largest(loans: list[Loan], now_s: float, rate_only: bool = False) -> int:
    return max(
        (
            loan.share_ppm
            for loan in loans
            if loan.until_s > now_s and (loan.with_rate or not rate_only)
        ),
        default=0,
    )


def _unended(loans: dict, now_s: float) -> dict:
    kept = {key: [loan for loan in each if loan.until_s > now_s] for key, each in loans.items()}
    return {key: each for key, each in kept.items() if each}
