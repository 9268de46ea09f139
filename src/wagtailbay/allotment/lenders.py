"""Estimate what other VMs can lend and select lenders."""

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
    """Tokens that a VM could lend at the time of the estimate.

    Attributes:
        empty_answers: Number of consecutive answers that lent nothing.
    """

    tokens: float
    estimated_s: float
    empty_answers: int = 0


@define
class LenderEstimator:
    """Estimates what each VM can lend from its last answer, its ledger share and its demand.

    Attributes:
        estimates: Last estimate by budget and VM. A VM that was never asked is assumed to have a
            full bucket.
        backoff_until_s: Time until which a VM is not asked for a rate loan, by budget and VM.
        unreachable_until_s: Time until which a VM that did not answer is not asked.
    """

    shares: LedgerShares
    fleet: FleetState
    estimates: dict[tuple[str, str], LenderEstimate] = field(factory=dict)
    backoff_until_s: dict[tuple[str, str], float] = field(factory=dict)
    unreachable_until_s: dict[str, float] = field(factory=dict)

    def record_request(self, budget: str, vm: str, now_s: float) -> None:
        """Assume that a VM asked for a loan has no further tokens to lend until it answers."""
        previous = self.estimates.get((budget, vm))
        self.estimates[(budget, vm)] = LenderEstimate(
            0.0, now_s, previous.empty_answers if previous else 0
        )

    def record_answer(self, budget: str, vm: str, grant: LoanGrant, now_s: float) -> None:
        """Record how many tokens a VM can still lend after its answer."""
        previous = self.estimates.get((budget, vm))
        empty_answers = (
            0
            if grant.share_ppm or previous is None
            else min(MAX_EMPTY_ANSWERS, previous.empty_answers + 1)
        )
        self.estimates[(budget, vm)] = LenderEstimate(grant.left_tokens, now_s, empty_answers)

    def reaches_capacity(self, account: Account, vm: str, now_s: float) -> bool:
        """Return whether a VM's bucket is expected to fill up within the term of a token loan."""
        granted_ppm = self.shares.other_vm_shares(account.budget).get(vm, 0)
        held, refill_per_s = self._estimate_tokens(account, vm, granted_ppm, 0.0, now_s)
        borrowed_capacity = account.capacity(account.borrowed_ppm(now_s))
        term_s = TOKEN_LOAN_TERM_MS / 1000
        return held + refill_per_s * term_s >= account.capacity(granted_ppm) - borrowed_capacity

    def back_off(self, budget: str, vm: str, now_s: float) -> None:
        """Stop asking a VM that lent little for rate loans of a budget for a short time."""
        self.backoff_until_s[(budget, vm)] = now_s + LENDER_BACKOFF_S

    def record_unreachable(self, vm: str, now_s: float) -> None:
        """Stop asking a VM that did not answer for a short time."""
        self.unreachable_until_s[vm] = now_s + UNREACHABLE_LENDER_BACKOFF_S

    def select_token_lenders(
        self, account: Account, tokens: float, now_s: float
    ) -> tuple[tuple[str, float], ...]:
        """Return the VMs to ask and the tokens to request from each.

        The nearest VM that can lend all the tokens is asked alone; otherwise the request is split
        among the VMs with the most tokens.
        """
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
        """Return when a VM is first expected to have the tokens, or infinity if none will."""
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
        """Return the VMs to ask for rate loans and the share to request from each.

        The nearest VM that can lend the whole share is asked alone; otherwise the request is split
        among the VMs with the most to spare.
        """
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
        """Return reachable VMs with a share, nearest first, with their share and demand."""
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
        """Return the estimated tokens of a VM and its estimated gain per second."""
        capacity = account.capacity(granted_ppm)
        rate_per_s = account.rate_per_s(granted_ppm)
        refill_per_s = max(MIN_REFILL_FRACTION * rate_per_s, rate_per_s - demand_per_s)
        previous = self.estimates.get((account.budget, vm))
        if previous is None:
            return capacity, refill_per_s
        # When many VMs compete for the tokens that a lender regains, most requests get nothing.
        refill_per_s /= 2**previous.empty_answers
        return (
            min(capacity, previous.tokens + refill_per_s * (now_s - previous.estimated_s)),
            refill_per_s,
        )


def _cap_total(total: float, candidates: list[tuple[str, float]]) -> tuple[tuple[str, float], ...]:
    """Reduce the amounts so that they add up to at most the total."""
    capped = []
    for vm, amount in candidates:
        amount = min(amount, total)
        if amount <= 0:
            break
        total -= amount
        capped.append((vm, amount))
    return tuple(capped)
