"""Model loans of shares between VMs."""

from typing import Final

from attrs import frozen

# Tokens without their rate are used at once; a short term frees the room for them soon.
TOKEN_LOAN_TERM_MS: Final = 200


@frozen
class LoanRequest:
    """Ask another VM for a part of its share.

    Attributes:
        borrower: The VM that asks.
        budget: For example ``workspace:records/unam``.
        share_ppm: The wanted part of the whole budget, in parts per million.
        term_ms: How long the borrower will use it, from when it sent the request. A loan for at
            most 200 ms moves tokens and the room for them, while the rate stays with the lender.
        number: Tells apart the loans of one run of a borrower.
        returned: The number of a loan that the borrower uses no more; such a request asks for
            nothing, and its share and term are 0.
    """

    borrower: str
    incarnation: int
    budget: str
    share_ppm: int
    term_ms: int
    number: int = 0
    returned: int = 0

    @property
    def with_rate(self) -> bool:
        """Tell whether the share's rate is asked for."""
        return self.term_ms > TOKEN_LOAN_TERM_MS


@frozen
class LoanGrant:
    """Lend a share; share_ppm is 0 when nothing is lent.

    Attributes:
        tokens: Unspent tokens that move to the borrower with the share.
        left_tokens: Tokens that the lender could lend now beyond these.
    """

    share_ppm: int
    tokens: float
    left_tokens: float = 0.0
