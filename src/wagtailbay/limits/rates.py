"""Derive limits of budgets that are configured with a rate only."""

from wagtailbay.config import Link
from wagtailbay.limits.const import (
    BYTES_PER_MBIT,
    LINK_BURST_S,
    REGION_BURST_S,
    VERSION_BURST_S,
)
from wagtailbay.limits.models import BudgetLimit


def region_limit(capacity_per_s: float, factor: float = 1.0) -> BudgetLimit:
    """Return the limit on requests to a region, with a burst of at least one request.

    The burst is zero if the factor is zero and otherwise independent of it, so that VMs with
    different factors agree on which budgets are too small to divide equally.
    """
    burst = max(1.0, capacity_per_s * REGION_BURST_S)
    return BudgetLimit(capacity_per_s * factor, burst if factor > 0 else 0.0)


def version_limit(cap_per_s: float) -> BudgetLimit:
    """Return the limit on requests to a new version that never exceeds the cap in any second.

    A budget admits at most its burst plus one second of its rate in any second, so the burst is
    deducted from the rate. Below two requests/s the burst is one request and the rate is at most
    one request/s. A cap below one request/s admits one request every 1 / cap seconds.
    """
    if cap_per_s < 2.0:
        return BudgetLimit(min(cap_per_s, 1.0), 1.0)
    burst = max(1.0, cap_per_s * VERSION_BURST_S)
    return BudgetLimit(cap_per_s - burst, burst)


def link_limit(link: Link) -> BudgetLimit:
    """Return the limit on bytes sent over a link."""
    bytes_per_s = link.capacity_mbit_per_s * BYTES_PER_MBIT
    return BudgetLimit(bytes_per_s, bytes_per_s * LINK_BURST_S)
