"""Results of requests for tokens of a workspace's rate."""

from attrs import frozen


@frozen
class TokenGrant:
    """Answer of the owner of a workspace's rate.

    Attributes:
        tokens: Number of tokens granted, each for one request.
        wait_ms: Time until another token can be expected, 0 if all requested ones were granted.
        is_owner: Whether the VM that answers owns the rate; otherwise it grants nothing.
    """

    tokens: int
    wait_ms: float
    is_owner: bool = True


NOT_THE_OWNER = TokenGrant(0, 0.0, is_owner=False)


@frozen
class RateExceeded:
    """Result of a request that exceeds the workspace's rate.

    Attributes:
        rate_per_s: Rate of the workspace over the whole fleet.
        owner_answers: Whether the owner of the rate refused. Without its answer, this VM has used
            up the part that it goes on with.
    """

    rate_per_s: float
    retry_after_ms: float
    owner_answers: bool = True
