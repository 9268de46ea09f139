"""Derive the limits of budgets whose documents state a rate only."""

from wagtailbay.config import Link
from wagtailbay.limits.const import BYTES_PER_MBIT, LINK_BURST_S, REGION_BURST_S
from wagtailbay.limits.models import BudgetLimit


def region_limit(capacity_per_s: float, factor: float = 1.0) -> BudgetLimit:
    """Limit requests to a region or a version; the burst of a usable one is at least a request.

    The burst does not depend on the factor, so that VMs that know different factors agree on
    which budgets are too small to divide equally.
    """
    burst = max(1.0, capacity_per_s * REGION_BURST_S)
    return BudgetLimit(capacity_per_s * factor, burst if factor > 0 else 0.0)


def link_limit(link: Link) -> BudgetLimit:
    """Limit the bytes on a link."""
    bytes_per_s = link.capacity_mbit_per_s * BYTES_PER_MBIT
    return BudgetLimit(bytes_per_s, bytes_per_s * LINK_BURST_S)
