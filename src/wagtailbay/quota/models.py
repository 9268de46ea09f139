"""Results of requests for tokens of a workspace's rate."""

from attrs import frozen

from wagtailbay.membership import TokenGrant

NOT_THE_OWNER = TokenGrant(0, 0.0, is_owner=False)


@frozen
class RateExceeded:
    """Result of a request that exceeds the workspace's rate.

    Attributes:
        rate_per_s: Rate of the workspace over the whole fleet.
        owner_answers: Whether the owner of the rate refused. Without its answer, this VM has used
            up the part that it goes on with, or the request has waited for as long as it may.
    """

    rate_per_s: float
    retry_after_ms: float
    owner_answers: bool = True
