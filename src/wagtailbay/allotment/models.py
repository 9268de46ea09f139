"""Data classes of ledgers, loans and the facts that ledger plans use."""

from collections.abc import Mapping

from attrs import define, field, frozen

from wagtailbay.allotment.const import LENDER_TERM_MARGIN, REFILL_MARGIN


@frozen
class Loan:
    """Lent share as recorded by the lender or the borrower.

    Attributes:
        until_s: End of the term on the clock of the recording side.
        with_rate: Whether the loan moves the share's refill rate (a rate loan) or only tokens and
            bucket capacity (a token loan).
        number: Number that the borrower assigned to the loan.
    """

    share_ppm: int
    until_s: float
    with_rate: bool = True
    number: int = 0


@frozen
class VmIncarnation:
    """Identity of one incarnation (process run) of an entry VM."""

    vm: str
    incarnation: int


@frozen
class Grant:
    """One VM's share of a budget.

    Attributes:
        granted_ppm: Share that the VM may use after it has applied the ledger.
        held_ppm: Upper bound of the share that the VM may still be using.
        decreased_from_version: Ledger version from which granted_ppm was last lowered. A VM that
            complies with any later version uses at most granted_ppm.
    """

    granted_ppm: int
    held_ppm: int
    decreased_from_version: int = 0


BudgetGrants = Mapping[VmIncarnation, Grant]


@frozen
class Ledger:
    """Distribution of the budgets of one group among the VMs."""

    budgets: Mapping[str, BudgetGrants] = field(factory=dict)

    def grant(self, budget: str, holder: VmIncarnation) -> Grant:
        """Return a VM's grant of a budget, an empty grant if it has none."""
        return self.budgets.get(budget, {}).get(holder, Grant(0, 0))

    def granted_shares(self, holder: VmIncarnation) -> dict[str, int]:
        """Return the shares granted to a VM, by budget."""
        return {
            budget: grants[holder].granted_ppm
            for budget, grants in self.budgets.items()
            if holder in grants
        }


@frozen
class Demand:
    """Fact that states a VM's demand for each budget.

    Attributes:
        per_s: Demand per second by budget; budgets without demand are omitted.
    """

    per_s: Mapping[str, float]


@frozen
class LedgerApplied:
    """Fact that a VM, including the shares it has lent, complies with a ledger version."""

    version: int


@frozen
class LedgerError:
    """Reason why a ledger object cannot be decoded."""

    message: str


@frozen
class BorrowFailed:
    """Reason why a loan request got no answer."""

    message: str


@define
class Safeguards:
    """Safety mechanisms that tests disable to prove that each one is necessary.

    Attributes:
        await_confirmation: Lower a held share only after its VM has confirmed the decrease.
        loan_margin: Fraction of the term by which the lender waits longer than the borrower.
        restrict_isolated: Use only the floor while isolated or after the loop has stalled.
        divide_floor_reserve: Give each VM an equal part of the floor reserve, not all of it.
        await_ended_loans: Wait for the loans of an ended VM to expire before reusing its share.
        move_tokens: Deduct the tokens that move with a loan from the lender's bucket.
        check_lent_shares: Confirm a ledger version only if the lent shares fit in the new share.
        release_before_return: Drop the capacity of a loan before returning it to the lender.
        refill_margin: Fraction by which refill is slowed to allow for fast clocks.
    """

    await_confirmation: bool = True
    loan_margin: float = LENDER_TERM_MARGIN
    restrict_isolated: bool = True
    divide_floor_reserve: bool = True
    await_ended_loans: bool = True
    move_tokens: bool = True
    check_lent_shares: bool = True
    release_before_return: bool = True
    refill_margin: float = REFILL_MARGIN
