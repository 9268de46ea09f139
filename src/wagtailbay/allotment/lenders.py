"""Judge which other VMs can lend."""

from math import inf

from attrs import define, field

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.const import (
    LENDER_BACKOFF_S,
    MAX_EMPTY_ANSWERS,
    MAX_LENDERS,
    MIN_REFILL_FRACTION,
    RENEWAL_LEAD_TIME_S,
    UNREACHABLE_LENDER_BACKOFF_S,
)
from wagtailbay.allotment.demand import current_demand, required_ppm
from wagtailbay.allotment.ledger_shares import LedgerShares
from wagtailbay.allotment.ports import FleetState
from wagtailbay.membership import LoanGrant
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS


@define
class LenderEstimate:
    """Hold how many tokens a VM could lend when it answered.

    Attributes:
        misses: Successive answers that brought nothing.
    """

    tokens: float
    estimated_s: float
    empty_answers: int = 0


@define
class LenderEstimator:
    """Estimate what each other VM can lend, from its last answer, its share and its demand.

    Attributes:
        seen: By budget and VM; one that was never asked is taken to hold its whole burst.
        avoided: Until when a VM is not asked for a budget.
        unreachable: Until when a VM that did not answer is not asked.
    """

    shares: LedgerShares
    fleet: FleetState
    estimates: dict[tuple[str, str], LenderEstimate] = field(factory=dict)
    backoff_until_s: dict[tuple[str, str], float] = field(factory=dict)
    unreachable_until_s: dict[str, float] = field(factory=dict)

    def record_request(self, budget: str, vm: str, now_s: float) -> None:
        """Take a VM that is asked to hold nothing beyond the order until it answers."""
        previous = self.estimates.get((budget, vm))
        self.estimates[(budget, vm)] = LenderEstimate(
            0.0, now_s, previous.empty_answers if previous else 0
        )

    def record_answer(self, budget: str, vm: str, grant: LoanGrant, now_s: float) -> None:
        """Record how many tokens a VM can still lend."""
        previous = self.estimates.get((budget, vm))
        empty_answers = (
            0
            if grant.share_ppm or previous is None
            else min(MAX_EMPTY_ANSWERS, previous.empty_answers + 1)
        )
        self.estimates[(budget, vm)] = LenderEstimate(grant.left_tokens, now_s, empty_answers)

    def reaches_capacity(self, account: Account, vm: str, now_s: float) -> bool:
        """Tell whether a VM is expected to reach its capacity before a loan ends by its term."""
        granted_ppm = self.shares.other_vm_shares(account.budget).get(vm, 0)
        held, refill_per_s = self._estimate_tokens(account, vm, granted_ppm, 0.0, now_s)
        borrowed_capacity = account.capacity(account.borrowed_ppm(now_s))
        term_s = TOKEN_LOAN_TERM_MS / 1000
        return held + refill_per_s * term_s >= account.capacity(granted_ppm) - borrowed_capacity

    def back_off(self, budget: str, vm: str, now_s: float) -> None:
        """Leave out a VM that lent little of its rate."""
        self.backoff_until_s[(budget, vm)] = now_s + LENDER_BACKOFF_S

    def record_unreachable(self, vm: str, now_s: float) -> None:
        """Leave out a VM that did not answer."""
        self.unreachable_until_s[vm] = now_s + UNREACHABLE_LENDER_BACKOFF_S

    def select_token_lenders(
        self, account: Account, tokens: float, now_s: float
    ) -> tuple[tuple[str, float], ...]:
        """Return whom to ask for how many tokens; one that has all comes first if near."""
        candidates = []
        for vm, granted_ppm, demand_per_s in self._reachable_lenders(account, now_s):
            held, _ = self._estimate_tokens(account, vm, granted_ppm, demand_per_s, now_s)
            if held >= min(1.0, tokens):
                candidates.append((vm, min(tokens, held)))
        sufficient = next((entry for entry in candidates if entry[1] >= tokens), None)
        if sufficient is not None:
            return (sufficient,)
        return _cap_total(tokens, sorted(candidates, key=lambda entry: -entry[1])[:MAX_LENDERS])

    def tokens_due_s(self, account: Account, tokens: float, now_s: float) -> float:
        """Return when the first VM is expected to have the tokens, infinity if never."""
        due_s = inf
        for vm, granted_ppm, demand_per_s in self._reachable_lenders(account, now_s):
            held, refill_per_s = self._estimate_tokens(
                account, vm, granted_ppm, demand_per_s, now_s
            )
            if account.capacity(granted_ppm) >= tokens and refill_per_s > 0:
                due_s = min(due_s, now_s + max(0.0, tokens - held) / refill_per_s)
        return due_s

    def select_rate_lenders(
        self, account: Account, missing_ppm: int, now_s: float
    ) -> tuple[tuple[str, int], ...]:
        """Return whom to ask for how much share; one that can lend all comes first if near."""
        candidates = []
        for vm, granted_ppm, demand_per_s in self._reachable_lenders(account, now_s):
            if self.backoff_until_s.get((account.budget, vm), now_s) > now_s:
                continue
            spare_ppm = granted_ppm - account.borrowed_rate_ppm(vm, now_s + RENEWAL_LEAD_TIME_S)
            spare_ppm -= required_ppm(account.limit, demand_per_s)
            if spare_ppm > 0:
                candidates.append((vm, spare_ppm))
        sufficient = next((vm for vm, spare_ppm in candidates if spare_ppm >= missing_ppm), None)
        if sufficient is not None:
            return ((sufficient, missing_ppm),)
        return _cap_total(
            missing_ppm, sorted(candidates, key=lambda entry: -entry[1])[:MAX_LENDERS]
        )

    def _reachable_lenders(self, account: Account, now_s: float) -> list[tuple[str, int, float]]:
        """Return the other VMs with a share, nearest first, with their share and demand."""
        granted = self.shares.other_vm_shares(account.budget)
        demand = {
            vm: fact.per_s for (vm, _), fact in current_demand(self.shares.facts, now_s).items()
        }
        return [
            (vm, granted[vm], demand.get(vm, {}).get(account.budget, 0.0))
            for vm in self.fleet.neighbours()
            if granted.get(vm, 0) > 0 and self.unreachable_until_s.get(vm, now_s) <= now_s
        ]

    def _estimate_tokens(
        self, account: Account, vm: str, granted_ppm: int, demand_per_s: float, now_s: float
    ) -> tuple[float, float]:
        """Return the tokens that a VM holds by estimate, and how many it gains a second."""
        capacity = account.capacity(granted_ppm)
        rate_per_s = account.rate_per_s(granted_ppm)
        refill_per_s = max(MIN_REFILL_FRACTION * rate_per_s, rate_per_s - demand_per_s)
        previous = self.estimates.get((account.budget, vm))
        if previous is None:
            return capacity, refill_per_s
        # Where many VMs want what a lender regains, most of them ask in vain.
        refill_per_s /= 2**previous.empty_answers
        return (
            min(capacity, previous.tokens + refill_per_s * (now_s - previous.estimated_s)),
            refill_per_s,
        )


def _cap_total(total: float, candidates: list[tuple[str, float]]) -> tuple[tuple[str, float], ...]:
    """Shorten the amounts so that they sum to no more than the total."""
    capped = []
    for vm, amount in candidates:
        amount = min(amount, total)
        if amount <= 0:
            break
        total -= amount
        capped.append((vm, amount))
    return tuple(capped)
