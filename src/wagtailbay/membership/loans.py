"""Model loans of shares between VMs."""

from attrs import frozen


@frozen
class LoanRequest:
    """Ask another VM for a part of its share.

    Attributes:
        borrower: The VM that asks.
        budget: For example ``workspace:records/unam``.
        share_ppm: The wanted part of the whole budget, in parts per million.
        term_ms: How long the borrower will use it, from when it sent the request.
    """

    borrower: str
    incarnation: int
    budget: str
    share_ppm: int
    term_ms: int


@frozen
class LoanGrant:
    """Lend a share; share_ppm is 0 when nothing is lent.

    Attributes:
        tokens: Unspent tokens that move to the borrower with the share.
    """

    share_ppm: int
    tokens: float
