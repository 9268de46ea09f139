"""Track this VM's share of one budget and the tokens that it may spend."""

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
    """Return False at any time."""
    return False


@define
class Account:
    """Token bucket of one budget on this VM, sized by its ledger share, floor and loans.

    The VMs' tokens never add up to more than the burst: each VM's level is at most burst x share,
    the shares add up to at most the whole budget, and a VM whose share grows receives only tokens
    that another VM gave up. Before a share changes, the bucket is refilled at the previous rate.

    Attributes:
        floor_ppm: Minimum share, which this VM may use without any ledger.
        ledger_ppm: Share granted by the ledger.
        is_floor_only: Returns whether only the floor may be used now.
        sync_ledgers: Applies newer ledgers, which may change the share, before tokens are used.
        on_low_tokens: Called when tokens run low, with the number of tokens needed immediately;
            returns whether a loan may bring tokens soon.
        lent: Loans to each borrower. Of several rate loans to one borrower only the largest
            counts; token loans add up.
        borrowed: Loans from each lender, counted in the same way.
        changed: Notified when tokens or a share arrive other than by refilling.
        on_loans_spent: Called when the tokens of loans are spent.
        refill_margin: Fraction by which the refill rate is lowered to allow for fast clocks.
        waiting_tokens: Number of tokens that queued requests need.
        floor_only: Result of is_floor_only at the last refill.
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
        """Create an empty bucket that refills at the floor's rate from the process start."""
        ledger_ppm, self.ledger_ppm = self.ledger_ppm, 0
        rate_per_s, capacity = self._rate_and_capacity(self.started_s)
        self.bucket = TokenBucket(rate_per_s, capacity, 0.0, self.started_s)
        self.ledger_ppm = ledger_ppm

    @property
    def floor_below_one_token(self) -> bool:
        """Return whether the floor's part of the burst is less than one token."""
        return self.limit.burst * self.floor_ppm < FULL_SHARE_PPM

    def usable_ppm(self, now_s: float) -> int:
        """Return the share of the rate at which this VM's bucket refills."""
        floor_ppm = 0 if self.floor_disabled else self.floor_ppm
        if self.floor_only:
            return floor_ppm
        lent_ppm = sum(_rate_loan_ppm(loans, now_s) for loans in self.lent.values())
        borrowed_ppm = sum(_rate_loan_ppm(loans, now_s) for loans in self.borrowed.values())
        return max(0, self.ledger_ppm - lent_ppm) + floor_ppm + borrowed_ppm

    def capacity_ppm(self, now_s: float) -> int:
        """Return the share of the burst that this VM's bucket may hold."""
        floor_ppm = 0 if self.floor_disabled else self.floor_ppm
        if self.floor_only:
            return floor_ppm
        own_ppm = max(0, self.ledger_ppm - self.lent_ppm(now_s))
        return own_ppm + floor_ppm + self.borrowed_ppm(now_s)

    def lent_ppm(self, now_s: float, replaced_borrower: VmIncarnation | None = None) -> int:
        """Return the lent share, excluding rate loans to replaced_borrower."""
        return sum(
            _token_loans_ppm(loans, now_s)
            + (0 if borrower == replaced_borrower else _rate_loan_ppm(loans, now_s))
            for borrower, loans in self.lent.items()
        )

    def borrowed_ppm(self, now_s: float) -> int:
        """Return the total share borrowed from other VMs."""
        return sum(
            _token_loans_ppm(loans, now_s) + _rate_loan_ppm(loans, now_s)
            for loans in self.borrowed.values()
        )

    def borrowed_rate_ppm(self, lender: str, now_s: float) -> int:
        """Return the share borrowed as a rate loan from one lender."""
        return _rate_loan_ppm(self.borrowed.get(lender, []), now_s)

    def capacity(self, share_ppm: float) -> float:
        """Return the bucket capacity of a ledger share, in tokens."""
        return self.limit.burst * share_ppm / self._total_ppm

    def rate_per_s(self, share_ppm: float) -> float:
        """Return the refill rate of a ledger share, in tokens per second."""
        rate_per_s = self.limit.rate_per_s / (1 + self.refill_margin)
        return rate_per_s * share_ppm / self._total_ppm

    def share_for_tokens(self, tokens: float) -> int:
        """Return the ledger share, in parts per million, whose capacity is the given tokens."""
        return ceil(self._total_ppm * tokens / max(self.limit.burst, 1e-9))

    @property
    def floor_disabled(self) -> bool:
        """Return whether the floor is unused and its reserve is part of the ledger shares.

        A floor of less than one token can never admit a request, so reserving burst and rate for
        it would waste them.
        """
        return self.floor_ppm > 0 and self.floor_below_one_token

    @property
    def _total_ppm(self) -> int:
        return LEDGER_TOTAL_PPM if self.floor_disabled else FULL_SHARE_PPM

    def _rate_and_capacity(self, at_s: float) -> tuple[float, float]:
        return self.rate_per_s(self.usable_ppm(at_s)), self.capacity(self.capacity_ppm(at_s))

    def refill(self, now_s: float) -> None:
        """Apply newer ledgers, expire loans and add the tokens gained since the last update."""
        self.sync_ledgers(now_s)
        self._refill_bucket(now_s)

    def _refill_bucket(self, now_s: float) -> None:
        """Add the tokens gained since the last update, at the rate in force in each interval."""
        now_s = max(now_s, self.bucket.updated_s)
        was_floor_only, self.floor_only = self.floor_only, self.is_floor_only(now_s)
        stalled = now_s - self.bucket.updated_s > LOOP_STALL_TIMEOUT_S
        if stalled or self.floor_only or was_floor_only:
            floor_ppm = 0 if self.floor_disabled else self.floor_ppm
            self.bucket.rate_per_s = min(self.bucket.rate_per_s, self.rate_per_s(floor_ppm))
        elif self.lent or self.borrowed:
            self._expire_loans(now_s)
        else:
            # The bucket's rate and capacity are unchanged since the last call.
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
        """Set the ledger share and the floor, and resize the bucket."""
        self._refill_bucket(now_s)
        has_grown = ledger_ppm > self.ledger_ppm
        self.ledger_ppm, self.floor_ppm = ledger_ppm, floor_ppm
        self._resize_bucket(now_s)
        if has_grown:
            self.changed.notify()

    def set_limit(self, limit: BudgetLimit, now_s: float) -> None:
        """Set the fleet-wide limit of the budget and resize the bucket if it changed."""
        if limit != self.limit:
            self._refill_bucket(now_s)
            self.limit = limit
            self._resize_bucket(now_s)

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens and return whether the bucket held enough; request loans when it runs low."""
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
        """Deduct tokens for work already done; the level may become negative."""
        self.refill(now_s)
        self.bucket.charge(amount, now_s)
        if self.bucket.level < 0.5 * self.bucket.capacity:
            self.on_low_tokens(self.budget, 0.0, now_s)

    def level(self, now_s: float) -> float:
        """Return the number of tokens in the bucket."""
        self.refill(now_s)
        return self.bucket.level

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until refilling yields the tokens, or infinity if it never does."""
        self.refill(now_s)
        return self.bucket.wait_s(amount)

    def may_borrow(self, amount: float, now_s: float) -> bool:
        """Request a loan and return whether one may bring tokens soon."""
        return self.on_low_tokens(self.budget, amount + self.waiting_tokens, now_s)

    def lend(
        self,
        borrower: VmIncarnation,
        loan: Loan,
        reserved_tokens: float,
        now_s: float,
        move_tokens: bool = True,
    ) -> float:
        """Record a loan, effective immediately, and return the tokens that move with it.

        Only the share that exceeds replaced rate loans carries tokens, up to the capacity of that
        share. Tokens in transit are thus always covered by a share that no VM is using.

        Args:
            borrower: VM incarnation that receives the loan.
            loan: Lent share, with the term as counted on this VM.
            reserved_tokens: Tokens that this VM keeps for its own demand.
            now_s: Current time.
            move_tokens: Whether to deduct the tokens here; tests disable it.
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
        """Reclaim the capacity of a token loan that the borrower returned; ignore unknown loans."""
        self.refill(now_s)
        loans = self.lent.get(borrower, [])
        self.lent[borrower] = [loan for loan in loans if loan.with_rate or loan.number != number]
        self._resize_bucket(now_s)

    def release_borrowed(self, lender: str, number: int, now_s: float) -> None:
        """Drop a borrowed loan and the capacity that it provides."""
        self.refill(now_s)
        loans = self.borrowed.get(lender, [])
        self.borrowed[lender] = [loan for loan in loans if loan.number != number]
        self._resize_bucket(now_s)

    def receive_loan(self, lender: str, loan: Loan, tokens: float, now_s: float) -> bool:
        """Add a loan unless it has expired or this VM is limited to its floor.

        Returns:
            Whether the loan was added.
        """
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
