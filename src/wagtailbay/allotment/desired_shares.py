"""Compute the shares that a ledger plan aims for."""

from collections.abc import Mapping, Sequence
from math import floor

from wagtailbay.allotment.const import (
    EQUAL_FRACTION,
    FULL_SHARE_PPM,
    HOLDER_HYSTERESIS_FRACTION,
    MIN_TOKENS_PER_VM,
    SMALL_BUDGET_EQUAL_FRACTION,
)
from wagtailbay.allotment.models import BudgetGrants, VmIncarnation
from wagtailbay.limits import BudgetLimit


def desired_shares(
    limit: BudgetLimit,
    active_vms: Sequence[VmIncarnation],
    demand: Mapping[VmIncarnation, float],
    grants: BudgetGrants,
    available_ppm: int,
    floor_ppm: int,
) -> dict[VmIncarnation, int]:
    """Divide the available share among the active VMs, mostly in proportion to their demand.

    A fraction is divided equally. If the burst is too small for every VM to hold a few tokens, only
    some VMs get shares, so that they can lend whole tokens to the others.
    """
    if not active_vms or available_ppm <= 0:
        return {}
    capped_demand = {
        holder: min(demand.get(holder, 0.0), limit.rate_per_s) for holder in active_vms
    }
    equal_fraction = EQUAL_FRACTION
    if limit.burst * floor_ppm < FULL_SHARE_PPM:
        active_vms = _select_holders(limit, active_vms, capped_demand, grants)
        equal_fraction = SMALL_BUDGET_EQUAL_FRACTION
    return _divide_by_weight(
        _weights(active_vms, capped_demand, grants, equal_fraction), available_ppm
    )


def _select_holders(
    limit: BudgetLimit,
    active_vms: Sequence[VmIncarnation],
    capped_demand: Mapping[VmIncarnation, float],
    grants: BudgetGrants,
) -> Sequence[VmIncarnation]:
    count = max(1, floor(limit.burst / MIN_TOKENS_PER_VM))
    if count >= len(active_vms):
        return active_vms

    def preference(holder: VmIncarnation) -> tuple[float, int, str]:
        granted_ppm = grants[holder].granted_ppm if holder in grants else 0
        weight = capped_demand[holder] + (
            HOLDER_HYSTERESIS_FRACTION * limit.rate_per_s if granted_ppm else 0.0
        )
        return -weight, -granted_ppm, holder.vm

    return sorted(active_vms, key=preference)[:count]


def _weights(
    active_vms: Sequence[VmIncarnation],
    capped_demand: Mapping[VmIncarnation, float],
    grants: BudgetGrants,
    equal_fraction: float,
) -> dict[VmIncarnation, float]:
    amounts = {holder: capped_demand[holder] for holder in active_vms}
    if sum(amounts.values()) <= 0:
        amounts = {h: grants[h].granted_ppm if h in grants else 0 for h in active_vms}
    total = sum(amounts.values())
    equal = 1.0 / len(active_vms)
    if total <= 0:
        return dict.fromkeys(active_vms, equal)
    return {
        h: equal_fraction * equal + (1 - equal_fraction) * a / total for h, a in amounts.items()
    }


def _divide_by_weight(
    weights: Mapping[VmIncarnation, float], available_ppm: int
) -> dict[VmIncarnation, int]:
    """Divide by weight, rounding down; the VM with the highest weight gets the remainder."""
    shares = {holder: floor(available_ppm * weight) for holder, weight in weights.items()}
    heaviest = max(weights, key=lambda holder: (weights[holder], holder.vm))
    shares[heaviest] += available_ppm - sum(shares.values())
    return shares
