"""Model ledgers, loans and the facts that plans rest on."""

from collections.abc import Mapping

from attrs import define, field, frozen

from wagtailbay.allotment.const import LENDER_TERM_MARGIN, REFILL_MARGIN


@frozen
class Loan:
    """Hold a lent share as one side counts it.

    Attributes:
        with_rate: Whether the share's rate moves; otherwise only room for tokens does.
        number: The borrower's number of the loan.
    """

    share_ppm: int
    until_s: float
    with_rate: bool = True
    number: int = 0


@frozen
class VmIncarnation:
    """Identify one run of an entry process."""

    vm: str
    incarnation: int


@frozen
class Grant:
    """Hold one VM's part of a budget.

    Attributes:
        granted_ppm: What the VM may use once it has applied the ledger.
        held_ppm: The most that it may still be using.
        lowered_after: The version on which the last write that lowered granted_ppm rests. A VM
            that keeps to any later version uses no more than granted_ppm.
    """

    granted_ppm: int
    held_ppm: int
    decreased_from_version: int = 0


BudgetGrants = Mapping[VmIncarnation, Grant]


@frozen
class Ledger:
    """Divide the budgets of one group among the VMs."""

    budgets: Mapping[str, BudgetGrants] = field(factory=dict)

    def grant(self, budget: str, holder: VmIncarnation) -> Grant:
        """Return a VM's part of a budget, nothing where it has none."""
        return self.budgets.get(budget, {}).get(holder, Grant(0, 0))

    def granted_shares(self, holder: VmIncarnation) -> dict[str, int]:
        """Return what is granted to a VM, by budget."""
        return {
            budget: grants[holder].granted_ppm
            for budget, grants in self.budgets.items()
            if holder in grants
        }


@frozen
class Demand:
    """Publish how much of each budget is asked for at a VM.

    Attributes:
        per_s: Amounts a second by budget; budgets without demand are left out.
    """

    per_s: Mapping[str, float]


@frozen
class LedgerApplied:
    """Publish that a VM, with the shares it has lent, keeps to a version of a ledger object."""

    version: int


@frozen
class LedgerError:
    """Describe why a ledger object cannot be used."""

    message: str


@frozen
class BorrowFailed:
    """Report that a VM gave no answer to a loan request."""

    message: str


@define
class Safeguards:
    """Name the mechanisms that tests switch off to show that a check fails without them.

    Attributes:
        await_applied: Lower a held share only after its VM has confirmed the decrease.
        loan_margin: The part of a term by which the lender waits longer than the borrower.
        confine_isolated: Use the floor only while isolated or after a stop of the own loop.
        limit_floor: Give each VM its part of the floor reserve, not the whole reserve.
        await_ended_loans: Wait for the loans of an ended VM before its share is granted again.
        move_tokens: Take the tokens that move with a loan from the lender.
        check_applied_loans: Confirm a ledger version only when lent shares allow it.
        refill_margin: The part by which tokens are refilled more slowly than at the rate.
        end_returned: Give up the room of a loan before it is returned to the lender.
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
