"""Decide which shares a plan aims at."""

from collections.abc import Mapping, Sequence
from math import floor

from wagtailbay.allotment.const import (
    EQUAL_PART,
    HOLDER_PREFERENCE,
    SMALL_EQUAL_PART,
    TOKENS_PER_HOLDER,
    WHOLE_PPM,
)
from wagtailbay.allotment.models import Division, Holder
from wagtailbay.limits import BudgetLimit


def target_shares(
    limit: BudgetLimit,
    present: Sequence[Holder],
    demand: Mapping[Holder, float],
    division: Division,
    available_ppm: int,
    floor_ppm: int,
) -> dict[Holder, int]:
    """Divide what is available among the present VMs in proportion to their demand.

    A part is divided equally. A budget whose burst is so small that equal parts would hold less
    than a few tokens goes to few VMs, so that whole tokens can be lent to the others.
    """
    if not present or available_ppm <= 0:
        return {}
    asked = {holder: min(demand.get(holder, 0.0), limit.rate_per_s) for holder in present}
    equal_part = EQUAL_PART
    if limit.burst * floor_ppm < WHOLE_PPM:
        present = _few_holders(limit, present, asked, division)
        equal_part = SMALL_EQUAL_PART
    return _divide(_weights(present, asked, division, equal_part), available_ppm)


def _few_holders(
    limit: BudgetLimit,
    present: Sequence[Holder],
    asked: Mapping[Holder, float],
    division: Division,
) -> Sequence[Holder]:
    count = max(1, floor(limit.burst / TOKENS_PER_HOLDER))
    if count >= len(present):
        return present

    def preference(holder: Holder) -> tuple[float, int, str]:
        granted_ppm = division[holder].granted_ppm if holder in division else 0
        weight = asked[holder] + (HOLDER_PREFERENCE * limit.rate_per_s if granted_ppm else 0.0)
        return -weight, -granted_ppm, holder.vm

    return sorted(present, key=preference)[:count]


def _weights(
    present: Sequence[Holder],
    asked: Mapping[Holder, float],
    division: Division,
    equal_part: float,
) -> dict[Holder, float]:
    amounts = {holder: asked[holder] for holder in present}
    if sum(amounts.values()) <= 0:
        amounts = {h: division[h].granted_ppm if h in division else 0 for h in present}
    total = sum(amounts.values())
    equal = 1.0 / len(present)
    if total <= 0:
        return dict.fromkeys(present, equal)
    return {h: equal_part * equal + (1 - equal_part) * a / total for h, a in amounts.items()}


def _divide(weights: Mapping[Holder, float], available_ppm: int) -> dict[Holder, int]:
    """Round down and give what is left over to the heaviest."""
    shares = {holder: floor(available_ppm * weight) for holder, weight in weights.items()}
    heaviest = max(weights, key=lambda holder: (weights[holder], holder.vm))
    shares[heaviest] += available_ppm - sum(shares.values())
    return shares
