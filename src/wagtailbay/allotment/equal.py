"""Split every budget equally among the VMs; the baseline for benchmarks."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.limits import BudgetLimit, TokenBucket
from wagtailbay.replica import ChangeSignal


@define
class FixedAccount:
    """Token bucket of a fixed share, without loans."""

    bucket: TokenBucket
    changed: ChangeSignal = field(factory=ChangeSignal)
    waiting_tokens: float = 0.0

    def take(self, amount: float, now_s: float) -> bool:
        """Take tokens and return whether the bucket held enough."""
        return self.bucket.take(amount, now_s)

    def charge(self, amount: float, now_s: float) -> None:
        """Deduct tokens for work already done; the level may become negative."""
        self.bucket.charge(amount, now_s)

    def level(self, now_s: float) -> float:
        """Return the number of tokens in the bucket."""
        self.bucket.refill(now_s)
        return self.bucket.level

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until refilling yields the tokens, or infinity if it never does."""
        self.bucket.refill(now_s)
        return self.bucket.wait_s(amount)

    def may_borrow(self, amount: float, now_s: float) -> bool:
        """Return False, since a fixed share is never extended by loans."""
        return False


@define
class EqualShares:
    """Share source that gives each of up to max_vms VMs the same fixed share."""

    max_vms: Callable[[], int]
    started_s: float
    accounts: dict[str, FixedAccount] = field(factory=dict)

    def share(self, budget: str, now_s: float) -> float:
        """Return this VM's share of a budget, from 0 to 1."""
        return 1.0 / self.max_vms()

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Ignore demand, which does not affect fixed shares."""

    def account(self, budget: str, limit: BudgetLimit, now_s: float) -> FixedAccount:
        """Return this VM's account of a budget, resized to the current limit."""
        share = self.share(budget, now_s)
        rate_per_s, capacity = limit.rate_per_s * share, limit.burst * share
        account = self.accounts.get(budget)
        if account is None:
            bucket = TokenBucket(rate_per_s, capacity, 0.0, self.started_s)
            account = self.accounts[budget] = FixedAccount(bucket)
        account.bucket.resize(rate_per_s, capacity, now_s)
        return account
