"""Judge which other VMs can lend."""

from math import inf

from attrs import define, field

from wagtailbay.allotment.account import Account
from wagtailbay.allotment.const import (
    AVOID_LENDER_S,
    LEAST_REGAINED,
    MAX_LENDERS,
    MAX_MISSES,
    RENEW_BEFORE_S,
    UNREACHABLE_LENDER_S,
)
from wagtailbay.allotment.demand import known_demand, needed_ppm
from wagtailbay.allotment.holding import Holding
from wagtailbay.allotment.ports import Fleet
from wagtailbay.membership import LoanGrant
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS


@define
class Sighting:
    """Hold how many tokens a VM could lend when it answered.

    Attributes:
        misses: Successive answers that brought nothing.
    """

    tokens: float
    seen_s: float
    misses: int = 0


@define
class LenderBoard:
    """Estimate what each other VM can lend, from its last answer, its share and its demand.

    Attributes:
        seen: By budget and VM; one that was never asked is taken to hold its whole burst.
        avoided: Until when a VM is not asked for a budget.
        unreachable: Until when a VM that did not answer is not asked.
    """

    holding: Holding
    fleet: Fleet
    seen: dict[tuple[str, str], Sighting] = field(factory=dict)
    avoided: dict[tuple[str, str], float] = field(factory=dict)
    unreachable: dict[str, float] = field(factory=dict)

    def note_order(self, budget: str, vm: str, now_s: float) -> None:
        """Take a VM that is asked to hold nothing beyond the order until it answers."""
        last = self.seen.get((budget, vm))
        self.seen[(budget, vm)] = Sighting(0.0, now_s, last.misses if last else 0)

    def note_answer(self, budget: str, vm: str, grant: LoanGrant, now_s: float) -> None:
        """Record how many tokens a VM can still lend."""
        last = self.seen.get((budget, vm))
        misses = 0 if grant.share_ppm or last is None else min(MAX_MISSES, last.misses + 1)
        self.seen[(budget, vm)] = Sighting(grant.left_tokens, now_s, misses)

    def is_full(self, account: Account, vm: str, now_s: float) -> bool:
        """Tell whether a VM is expected to reach its capacity before a loan ends by its term."""
        granted_ppm = self.holding.granted_to_others(account.budget).get(vm, 0)
        held, gained_per_s = self._tokens(account, vm, granted_ppm, 0.0, now_s)
        lent = account.capacity(account.borrowed_ppm(now_s))
        term_s = TOKEN_LOAN_TERM_MS / 1000
        return held + gained_per_s * term_s >= account.capacity(granted_ppm) - lent

    def avoid(self, budget: str, vm: str, now_s: float) -> None:
        """Leave out a VM that lent little of its rate."""
        self.avoided[(budget, vm)] = now_s + AVOID_LENDER_S

    def note_unreachable(self, vm: str, now_s: float) -> None:
        """Leave out a VM that did not answer."""
        self.unreachable[vm] = now_s + UNREACHABLE_LENDER_S

    def with_tokens(
        self, account: Account, tokens: float, now_s: float
    ) -> tuple[tuple[str, float], ...]:
        """Return whom to ask for how many tokens; one that has all comes first if near."""
        found = []
        for vm, granted_ppm, demand_per_s in self._reachable(account, now_s):
            held, _ = self._tokens(account, vm, granted_ppm, demand_per_s, now_s)
            if held >= min(1.0, tokens):
                found.append((vm, min(tokens, held)))
        enough = next((entry for entry in found if entry[1] >= tokens), None)
        if enough is not None:
            return (enough,)
        return _up_to(tokens, sorted(found, key=lambda entry: -entry[1])[:MAX_LENDERS])

    def due_s(self, account: Account, tokens: float, now_s: float) -> float:
        """Return when the first VM is expected to have the tokens, infinity if never."""
        due_s = inf
        for vm, granted_ppm, demand_per_s in self._reachable(account, now_s):
            held, gained_per_s = self._tokens(account, vm, granted_ppm, demand_per_s, now_s)
            if account.capacity(granted_ppm) >= tokens and gained_per_s > 0:
                due_s = min(due_s, now_s + max(0.0, tokens - held) / gained_per_s)
        return due_s

    def with_rate(
        self, account: Account, missing_ppm: int, now_s: float
    ) -> tuple[tuple[str, int], ...]:
        """Return whom to ask for how much share; one that can lend all comes first if near."""
        found = []
        for vm, granted_ppm, demand_per_s in self._reachable(account, now_s):
            if self.avoided.get((account.budget, vm), now_s) > now_s:
                continue
            spare_ppm = granted_ppm - account.borrowed_from(vm, now_s + RENEW_BEFORE_S)
            spare_ppm -= needed_ppm(account.limit, demand_per_s)
            if spare_ppm > 0:
                found.append((vm, spare_ppm))
        enough = next((vm for vm, spare_ppm in found if spare_ppm >= missing_ppm), None)
        if enough is not None:
            return ((enough, missing_ppm),)
        return _up_to(missing_ppm, sorted(found, key=lambda entry: -entry[1])[:MAX_LENDERS])

    def _reachable(self, account: Account, now_s: float) -> list[tuple[str, int, float]]:
        """Return the other VMs with a share, nearest first, with their share and demand."""
        granted = self.holding.granted_to_others(account.budget)
        demand = {vm: d.per_s for (vm, _), d in known_demand(self.holding.facts, now_s).items()}
        return [
            (vm, granted[vm], demand.get(vm, {}).get(account.budget, 0.0))
            for vm in self.fleet.neighbours()
            if granted.get(vm, 0) > 0 and self.unreachable.get(vm, now_s) <= now_s
        ]

    def _tokens(
        self, account: Account, vm: str, granted_ppm: int, demand_per_s: float, now_s: float
    ) -> tuple[float, float]:
        """Return the tokens that a VM holds by estimate, and how many it gains a second."""
        capacity = account.capacity(granted_ppm)
        rate_per_s = account.rate_per_s(granted_ppm)
        gained_per_s = max(LEAST_REGAINED * rate_per_s, rate_per_s - demand_per_s)
        last = self.seen.get((account.budget, vm))
        if last is None:
            return capacity, gained_per_s
        # Where many VMs want what a lender regains, most of them ask in vain.
        gained_per_s /= 2**last.misses
        return min(capacity, last.tokens + gained_per_s * (now_s - last.seen_s)), gained_per_s


def _up_to(total: float, found: list[tuple[str, float]]) -> tuple[tuple[str, float], ...]:
    """Shorten the amounts so that they sum to no more than the total."""
    shortened = []
    for vm, amount in found:
        amount = min(amount, total)
        if amount <= 0:
            break
        total -= amount
        shortened.append((vm, amount))
    return tuple(shortened)
