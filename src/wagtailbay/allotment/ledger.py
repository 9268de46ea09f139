"""Plan the next version of a ledger."""

from collections.abc import Mapping

from attrs import evolve, field, frozen

from wagtailbay.allotment.const import LEDGER_PPM, MIN_DECREASE, MIN_STEP_PPM
from wagtailbay.allotment.models import Division, Grant, Holder, Ledger, Safeguards
from wagtailbay.allotment.targets import target_shares
from wagtailbay.limits import BudgetLimit


@frozen
class Evidence:
    """Hold what a plan rests on.

    Attributes:
        limits: The budgets of the group.
        present: The VMs that can be given shares.
        gone: VMs whose share is taken down to nothing.
        demand: Smoothed amounts a second, by budget and VM.
        applied: The version of this ledger to which each VM has confirmed to keep.
        release_at_s: From when the share of an ended VM may be granted to others.
        floor_ppm: One VM's part of the floor.
    """

    limits: Mapping[str, BudgetLimit]
    present: tuple[Holder, ...]
    gone: frozenset[Holder]
    demand: Mapping[str, Mapping[Holder, float]]
    applied: Mapping[Holder, int]
    release_at_s: Mapping[Holder, float]
    floor_ppm: int
    safeguards: Safeguards = field(factory=Safeguards)


def plan_ledger(ledger: Ledger, version: int, evidence: Evidence, now_s: float) -> Ledger:
    """Return the next ledger; it equals the present one where nothing is to be done.

    Args:
        ledger: The ledger as read from the store.
        version: Its version in the store.
        evidence: What is known of the fleet.
        now_s: The present time on the clock of release_at_s.
    """
    budgets: dict[str, Division] = {}
    for budget in sorted(evidence.limits.keys() | ledger.budgets.keys()):
        division = _released(ledger.budgets.get(budget, {}), evidence, now_s)
        targets = _targets(budget, division, evidence)
        division = _decreased(division, targets, version, evidence.safeguards)
        division = _grown(division, targets)
        if division:
            budgets[budget] = division
    return Ledger(budgets)


def _released(division: Division, evidence: Evidence, now_s: float) -> dict[Holder, Grant]:
    """Lower what is held to what is granted where that is certain to be safe."""
    kept: dict[Holder, Grant] = {}
    for holder, grant in division.items():
        if evidence.release_at_s.get(holder, float("inf")) <= now_s:
            continue
        if evidence.applied.get(holder, -1) > grant.lowered_after:
            grant = evolve(grant, held_ppm=grant.granted_ppm)
        if grant.held_ppm > 0:
            kept[holder] = grant
    return kept


def _targets(budget: str, division: Division, evidence: Evidence) -> dict[Holder, int]:
    """Return the shares to aim at; a VM that is silent but not gone keeps what it has."""
    present = set(evidence.present)
    silent = {h: g.granted_ppm for h, g in division.items() if h not in present | evidence.gone}
    targets = dict.fromkeys(division, 0) | silent
    limit = evidence.limits.get(budget)
    if limit is None:
        return targets
    planned = target_shares(
        limit,
        evidence.present,
        evidence.demand.get(budget, {}),
        division,
        LEDGER_PPM - sum(silent.values()),
        evidence.floor_ppm,
    )
    targets |= dict.fromkeys(present & division.keys(), 0) | planned
    return _unless_small_step(targets, division, evidence.gone)


def _unless_small_step(
    targets: dict[Holder, int], division: Division, gone: frozenset[Holder]
) -> dict[Holder, int]:
    granted = {h: 0 if h in gone else grant.granted_ppm for h, grant in division.items()}
    is_new = any(share and not granted.get(holder) for holder, share in targets.items())
    moved = sum(abs(share - granted.get(holder, 0)) for holder, share in targets.items())
    return targets if is_new or moved >= 2 * MIN_STEP_PPM else granted


def _decreased(
    division: Division, targets: Mapping[Holder, int], version: int, safeguards: Safeguards
) -> dict[Holder, Grant]:
    """Lower what is granted; what is held stays until the VM confirms."""
    lowered = {}
    for holder, grant in division.items():
        target_ppm = targets.get(holder, 0)
        pending = grant.held_ppm > grant.granted_ppm
        small = grant.granted_ppm - target_ppm < MIN_DECREASE * grant.granted_ppm
        # A further decrease before the last one is confirmed would put off the confirmation.
        if target_ppm > 0 and (pending or small):
            target_ppm = grant.granted_ppm
        granted_ppm = min(grant.granted_ppm, target_ppm)
        held_ppm = grant.held_ppm if safeguards.await_applied else granted_ppm
        is_lower = granted_ppm < grant.granted_ppm
        lowered_after = version if is_lower else grant.lowered_after
        lowered[holder] = Grant(granted_ppm, held_ppm, lowered_after)
    return lowered


def _grown(division: dict[Holder, Grant], targets: Mapping[Holder, int]) -> dict[Holder, Grant]:
    """Raise what is granted, from what the VM still holds and from what nobody holds."""
    grown = dict(division)
    for holder, target_ppm in targets.items():
        grant = grown.get(holder, Grant(0, 0))
        if target_ppm > grant.granted_ppm:
            grown[holder] = evolve(grant, granted_ppm=min(target_ppm, grant.held_ppm))
    free_ppm = LEDGER_PPM - sum(grant.held_ppm for grant in grown.values())
    missing = {h: t - grown[h].granted_ppm for h, t in targets.items() if h in grown}
    missing = {holder: ppm for holder, ppm in missing.items() if ppm > 0}
    total_ppm = sum(missing.values())
    for holder, ppm in missing.items():
        added_ppm = ppm if total_ppm <= free_ppm else ppm * max(0, free_ppm) // total_ppm
        granted_ppm = grown[holder].granted_ppm + added_ppm
        held_ppm = max(grown[holder].held_ppm, granted_ppm)
        grown[holder] = evolve(grown[holder], granted_ppm=granted_ppm, held_ppm=held_ppm)
    return {h: g for h, g in grown.items() if g.held_ppm > 0}
