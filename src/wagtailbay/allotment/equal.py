"""Divide every budget equally; the baseline for measurements."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.limits import BudgetLimit, TokenBucket
from wagtailbay.replica import ChangeSignal


@define
class FixedAccount:
    """Hold the tokens of a share that never changes."""

    bucket: TokenBucket
    changed: ChangeSignal = field(factory=ChangeSignal)
    waiting_tokens: float = 0.0

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens if there are enough."""
        return self.bucket.take(amount, now_s)

    def charge(self, amount: float, now_s: float) -> None:
        """Take tokens that are already spent."""
        self.bucket.charge(amount, now_s)

    def level(self, now_s: float) -> float:
        """Return the tokens held."""
        self.bucket.refill(now_s)
        return self.bucket.level

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until the rate has brought the tokens; infinity if it never will."""
        self.bucket.refill(now_s)
        return self.bucket.wait_s(amount)

    def may_borrow(self, amount: float, now_s: float) -> bool:
        """Answer that no other VM lends."""
        return False


@define
class EqualShares:
    """Give each of the fleet's possible VMs the same fixed share."""

    max_vms: Callable[[], int]
    started_s: float
    accounts: dict[str, FixedAccount] = field(factory=dict)

    def share(self, budget: str, now_s: float) -> float:
        """Return this VM's share of a budget, from 0 to 1."""
        return 1.0 / self.max_vms()

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Ignore demand."""

    def account(self, budget: str, limit: BudgetLimit, now_s: float) -> FixedAccount:
        """Return this VM's account of a budget."""
        share = self.share(budget, now_s)
        rate_per_s, capacity = limit.rate_per_s * share, limit.burst * share
        account = self.accounts.get(budget)
        if account is None:
            bucket = TokenBucket(rate_per_s, capacity, 0.0, self.started_s)
            account = self.accounts[budget] = FixedAccount(bucket)
        account.bucket.resize(rate_per_s, capacity, now_s)
        return account
