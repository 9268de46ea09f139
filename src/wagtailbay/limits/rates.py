"""Derive the limits of budgets whose documents state a rate only."""

from wagtailbay.config import Link
from wagtailbay.limits.const import (
    BYTES_PER_MBIT,
    LINK_BURST_S,
    REGION_BURST_S,
    VERSION_BURST_S,
)
from wagtailbay.limits.models import BudgetLimit


def region_limit(capacity_per_s: float, factor: float = 1.0) -> BudgetLimit:
    """Limit requests to a region; the burst of a usable one is at least a request.

    The burst does not depend on the factor, so that VMs that know different factors agree on
    which budgets are too small to divide equally.
    """
    burst = max(1.0, capacity_per_s * REGION_BURST_S)
    return BudgetLimit(capacity_per_s * factor, burst if factor > 0 else 0.0)


def version_limit(cap_per_s: float) -> BudgetLimit:
    """Limit requests to a new version so that no second brings more than the cap.

    A budget admits at most its burst and one second's rate in any second, so the burst is taken
    out of the rate. Below two requests/s the burst is one request, and a whole token every second
    at most follows it. A cap below one request/s admits one request in 1 / cap seconds.
    """
    if cap_per_s < 2.0:
        return BudgetLimit(min(cap_per_s, 1.0), 1.0)
    burst = max(1.0, cap_per_s * VERSION_BURST_S)
    return BudgetLimit(cap_per_s - burst, burst)


def link_limit(link: Link) -> BudgetLimit:
    """Limit the bytes on a link."""
    bytes_per_s = link.capacity_mbit_per_s * BYTES_PER_MBIT
    return BudgetLimit(bytes_per_s, bytes_per_s * LINK_BURST_S)
