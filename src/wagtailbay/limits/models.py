"""Budget limits and names, and the protocols of this VM's accounts."""

from typing import Protocol

from attrs import frozen

from wagtailbay.replica import ChangeSignal


@frozen
class BudgetLimit:
    """Fleet-wide limit of a budget; the burst uses the unit of the rate, such as requests."""

    rate_per_s: float
    burst: float


class TokenAccount(Protocol):
    """Tokens of one budget held by this VM.

    Attributes:
        changed: Notified when tokens or a share arrive by other means than the periodic refill.
        waiting_tokens: Total tokens requested by queued requests; set by their queue.
    """

    changed: ChangeSignal
    waiting_tokens: float

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens if enough are available."""

    def charge(self, amount: float, now_s: float) -> None:
        """Take tokens for past usage; the level may become negative."""

    def level(self, now_s: float) -> float:
        """Return the current number of tokens."""

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until this VM's own rate yields the tokens, infinity if never."""

    def may_borrow(self, amount: float, now_s: float) -> bool:
        """Request a loan; return whether another VM may lend tokens soon."""


class ShareSource(Protocol):
    """Source of this VM's accounts, one for each budget."""

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Record a requested amount, whether or not it is admitted."""

    def account(self, budget: str, limit: BudgetLimit, now_s: float) -> TokenAccount:
        """Return this VM's account of a budget after applying its current limit."""


def workspace_budget(service: str, workspace: str) -> str:
    """Return the budget name for a workspace's requests to a service."""
    return f"workspace:{service}/{workspace}"


def region_budget(service: str, region: str) -> str:
    """Return the budget name for a service's requests to a region."""
    return f"region:{service}/{region}"


def link_budget(from_region: str, to_region: str) -> str:
    """Return the budget name for the bytes sent from one region to another."""
    return f"link:{from_region}/{to_region}"


def version_budget(service: str, version: str) -> str:
    """Return the budget name for a service's requests to a new version."""
    return f"version:{service}/{version}"
