"""Messages that request tokens of workspaces' rates from the VM that owns the rates."""

from attrs import frozen


@frozen
class TokenDemand:
    """Tokens of one workspace that a VM requests.

    Attributes:
        tokens: Tokens for the requests that wait and for those expected next.
        spare: Further tokens that the VM would keep in hand for the time until the next answer.
        held: Unspent tokens that the VM has when it sends the request.
        waiting: Part of the tokens that is for requests that wait, which spend them at once.
    """

    workspace: str
    tokens: int
    spare: int = 0
    held: int = 0
    waiting: int = 0

    def is_needed(self) -> bool:
        """Return whether any tokens are requested."""
        return self.tokens > 0 or self.spare > 0


@frozen
class TokenRequests:
    """The token demand of one VM for all workspaces that the called VM owns."""

    borrower: str
    incarnation: int
    demands: tuple[TokenDemand, ...]


@frozen
class TokenGrant:
    """Answer of the owner of a workspace's rate.

    Attributes:
        tokens: Number of tokens granted, each for one request.
        wait_ms: Time until another token can be expected, 0 if all requested ones were granted.
        is_owner: Whether the VM that answers owns the rate; otherwise it grants nothing.
        spare: Tokens granted beyond those, to be kept in hand.
    """

    tokens: int
    wait_ms: float
    is_owner: bool = True
    spare: int = 0


@frozen
class TokenGrants:
    """Answers to the demands of a call, in their order.

    Attributes:
        is_tracked: Whether the owner counts the tokens as unspent until the VM reports what it
            holds. An owner without RequestTokens does not.
    """

    grants: tuple[TokenGrant, ...]
    is_tracked: bool = True
