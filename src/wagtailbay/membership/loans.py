"""Messages for loans of budget shares between VMs."""

from typing import Final

from attrs import frozen

# Tokens lent without their rate are spent at once; a short term soon frees the bucket capacity lent
# with them.
TOKEN_LOAN_TERM_MS: Final = 200


@frozen
class LoanRequest:
    """A request to another VM for a part of its share.

    Attributes:
        borrower: The VM that sends the request.
        budget: Name of the budget, for example ``workspace:records/unam``.
        share_ppm: The requested part of the whole budget, in parts per million.
        term_ms: How long the borrower will use the loan, counted from when it sent the request. A
            loan for at most 200 ms moves tokens and the bucket capacity for them, while the rate
            stays with the lender.
        number: Identifies the loan among those of one incarnation of the borrower.
        returned: The number of a loan that the borrower no longer uses, otherwise 0. A request that
            returns a loan requests none itself; its share and term are 0.
        tokens: Number of tokens requested, if the budget has an owner that grants single tokens.
    """

    borrower: str
    incarnation: int
    budget: str
    share_ppm: int
    term_ms: int
    number: int = 0
    returned: int = 0
    tokens: int = 0

    @property
    def with_rate(self) -> bool:
        """Return whether the request includes the rate of the share."""
        return self.term_ms > TOKEN_LOAN_TERM_MS


@frozen
class LoanGrant:
    """The answer to a loan request; share_ppm is 0 if no share is lent.

    Attributes:
        tokens: Unspent tokens that move to the borrower with the share.
        left_tokens: Further tokens that the lender could lend now.
        wait_ms: Time until another token can be expected, if fewer were granted than requested.
    """

    share_ppm: int
    tokens: float
    left_tokens: float = 0.0
    wait_ms: int = 0
