"""Plan the next version of a ledger."""

from collections.abc import Mapping

from attrs import evolve, field, frozen

from wagtailbay.allotment.const import LEDGER_TOTAL_PPM, MIN_DECREASE_FRACTION, MIN_REBALANCE_PPM
from wagtailbay.allotment.desired_shares import desired_shares
from wagtailbay.allotment.models import BudgetGrants, Grant, Ledger, Safeguards, VmIncarnation
from wagtailbay.limits import BudgetLimit


@frozen
class PlanInputs:
    """Inputs of a ledger plan besides the current ledger.

    Attributes:
        limits: Limits of the group's budgets.
        active_vms: VMs that can be granted shares.
        removed_vms: VMs whose shares are lowered to zero.
        demand: Smoothed demand per second, by budget and VM.
        applied_versions: Version of this ledger that each VM has confirmed it complies with.
        release_at_s: When the share of each ended VM may be granted to others.
        floor_ppm: Floor of one VM.
    """

    limits: Mapping[str, BudgetLimit]
    active_vms: tuple[VmIncarnation, ...]
    removed_vms: frozenset[VmIncarnation]
    demand: Mapping[str, Mapping[VmIncarnation, float]]
    applied_versions: Mapping[VmIncarnation, int]
    release_at_s: Mapping[VmIncarnation, float]
    floor_ppm: int
    safeguards: Safeguards = field(factory=Safeguards)


def plan_ledger(ledger: Ledger, version: int, inputs: PlanInputs, now_s: float) -> Ledger:
    """Return the next ledger, which equals the current one if no change is needed.

    Args:
        ledger: Current ledger, as read from the store.
        version: Version of the current ledger in the store.
        inputs: Budgets, demand and known state of the fleet.
        now_s: Current time on the clock of release_at_s.
    """
    budgets: dict[str, BudgetGrants] = {}
    for budget in sorted(inputs.limits.keys() | ledger.budgets.keys()):
        grants = _release_confirmed(ledger.budgets.get(budget, {}), inputs, now_s)
        desired = _desired_shares(budget, grants, inputs)
        grants = _apply_decreases(grants, desired, version, inputs.safeguards)
        grants = _apply_increases(grants, desired)
        if grants:
            budgets[budget] = grants
    return Ledger(budgets)


def _release_confirmed(
    grants: BudgetGrants, inputs: PlanInputs, now_s: float
) -> dict[VmIncarnation, Grant]:
    """Release the excess of held over granted shares where its VM can no longer use it."""
    remaining: dict[VmIncarnation, Grant] = {}
    for holder, grant in grants.items():
        if inputs.release_at_s.get(holder, float("inf")) <= now_s:
            continue
        if inputs.applied_versions.get(holder, -1) > grant.decreased_from_version:
            grant = evolve(grant, held_ppm=grant.granted_ppm)
        if grant.held_ppm > 0:
            remaining[holder] = grant
    return remaining


def _desired_shares(
    budget: str, grants: BudgetGrants, inputs: PlanInputs
) -> dict[VmIncarnation, int]:
    """Return the share to aim at for each VM; unresponsive VMs keep their current shares."""
    active_vms = set(inputs.active_vms)
    unresponsive = {
        h: g.granted_ppm for h, g in grants.items() if h not in active_vms | inputs.removed_vms
    }
    desired = dict.fromkeys(grants, 0) | unresponsive
    limit = inputs.limits.get(budget)
    if limit is None:
        return desired
    planned = desired_shares(
        limit,
        inputs.active_vms,
        inputs.demand.get(budget, {}),
        grants,
        LEDGER_TOTAL_PPM - sum(unresponsive.values()),
        inputs.floor_ppm,
    )
    desired |= dict.fromkeys(active_vms & grants.keys(), 0) | planned
    return _skip_small_changes(desired, grants, inputs.removed_vms)


def _skip_small_changes(
    desired: dict[VmIncarnation, int], grants: BudgetGrants, removed_vms: frozenset[VmIncarnation]
) -> dict[VmIncarnation, int]:
    granted = {h: 0 if h in removed_vms else grant.granted_ppm for h, grant in grants.items()}
    adds_holder = any(share and not granted.get(holder) for holder, share in desired.items())
    moved_ppm = sum(abs(share - granted.get(holder, 0)) for holder, share in desired.items())
    return desired if adds_holder or moved_ppm >= 2 * MIN_REBALANCE_PPM else granted


def _apply_decreases(
    grants: BudgetGrants, desired: Mapping[VmIncarnation, int], version: int, safeguards: Safeguards
) -> dict[VmIncarnation, Grant]:
    """Lower granted shares; the held shares stay until the VMs confirm."""
    decreased = {}
    for holder, grant in grants.items():
        desired_ppm = desired.get(holder, 0)
        pending = grant.held_ppm > grant.granted_ppm
        is_small = grant.granted_ppm - desired_ppm < MIN_DECREASE_FRACTION * grant.granted_ppm
        # Another decrease while one is pending would delay its confirmation.
        if desired_ppm > 0 and (pending or is_small):
            desired_ppm = grant.granted_ppm
        granted_ppm = min(grant.granted_ppm, desired_ppm)
        held_ppm = grant.held_ppm if safeguards.await_confirmation else granted_ppm
        is_lower = granted_ppm < grant.granted_ppm
        decreased_from_version = version if is_lower else grant.decreased_from_version
        decreased[holder] = Grant(granted_ppm, held_ppm, decreased_from_version)
    return decreased


def _apply_increases(
    grants: dict[VmIncarnation, Grant], desired: Mapping[VmIncarnation, int]
) -> dict[VmIncarnation, Grant]:
    """Raise granted shares up to what each VM still holds, then from the unheld remainder."""
    increased = dict(grants)
    for holder, desired_ppm in desired.items():
        grant = increased.get(holder, Grant(0, 0))
        if desired_ppm > grant.granted_ppm:
            increased[holder] = evolve(grant, granted_ppm=min(desired_ppm, grant.held_ppm))
    free_ppm = LEDGER_TOTAL_PPM - sum(grant.held_ppm for grant in increased.values())
    shortfalls = {
        h: desired_ppm - increased[h].granted_ppm
        for h, desired_ppm in desired.items()
        if h in increased
    }
    shortfalls = {holder: ppm for holder, ppm in shortfalls.items() if ppm > 0}
    total_ppm = sum(shortfalls.values())
    for holder, ppm in shortfalls.items():
        added_ppm = ppm if total_ppm <= free_ppm else ppm * max(0, free_ppm) // total_ppm
        granted_ppm = increased[holder].granted_ppm + added_ppm
        held_ppm = max(increased[holder].held_ppm, granted_ppm)
        increased[holder] = evolve(increased[holder], granted_ppm=granted_ppm, held_ppm=held_ppm)
    return {h: g for h, g in increased.items() if g.held_ppm > 0}
