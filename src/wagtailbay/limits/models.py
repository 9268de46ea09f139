"""Model budgets and who supplies this VM's part of them."""

from typing import Protocol

from attrs import frozen

from wagtailbay.replica import ChangeSignal


@frozen
class BudgetLimit:
    """Limit a budget over the whole fleet; burst in the same unit as the rate, such as requests."""

    rate_per_s: float
    burst: float


class TokenAccount(Protocol):
    """Hold this VM's tokens of one budget.

    Attributes:
        changed: Notified when tokens or a share arrive other than by the passing of time.
        waiting_tokens: Tokens that waiting requests want; set by the queue in which they wait.
    """

    changed: ChangeSignal
    waiting_tokens: float

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens if there are enough."""

    def charge(self, amount: float, now_s: float) -> None:
        """Take tokens that are already spent; the level may become negative."""

    def level(self, now_s: float) -> float:
        """Return the tokens held."""

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until the own rate has brought the tokens; infinity if it never will."""

    def may_borrow(self, amount: float, now_s: float) -> bool:
        """Tell whether a loan of another VM may bring tokens soon, and ask for one."""


class ShareSource(Protocol):
    """Supply this VM's part of the budgets."""

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Record that an amount was asked for, whether it was admitted or not."""

    def account(self, budget: str, limit: BudgetLimit, now_s: float) -> TokenAccount:
        """Return this VM's account of a budget, with the limit that is in force now."""


def workspace_budget(service: str, workspace: str) -> str:
    """Name the budget of a workspace's requests to a service."""
    return f"workspace:{service}/{workspace}"


def region_budget(service: str, region: str) -> str:
    """Name the budget of a service's requests to a region."""
    return f"region:{service}/{region}"


def link_budget(from_region: str, to_region: str) -> str:
    """Name the budget of the bytes that pass from one region to another."""
    return f"link:{from_region}/{to_region}"


def version_budget(service: str, version: str) -> str:
    """Name the budget of a service's requests to a new version."""
    return f"version:{service}/{version}"
