"""Divide every budget equally; the baseline for measurements."""

from collections.abc import Callable

from attrs import define


@define
class EqualShares:
    """Give each of the fleet's possible VMs the same fixed share."""

    max_vms: Callable[[], int]

    def share(self, budget: str, now_s: float) -> float:
        """Return this VM's share of a budget, from 0 to 1."""
        return 1.0 / self.max_vms()

    def record_demand(self, budget: str, amount: float, now_s: float) -> None:
        """Ignore demand."""
