"""Decide how much of a rate its owner may grant while other VMs are out of contact."""

from collections.abc import Collection

from wagtailbay.quota.const import (
    KNOWN_LATELY_S,
    MINORITY_FRACTION,
    SPLIT_GRACE_S,
)


def grant_fraction(
    in_contact: int, lost_contact_ages_s: Collection[float], alone_fraction: float
) -> float:
    """Return which part of a workspace's rate its owner may grant.

    A VM that is out of contact may have crashed, or run in another part of a split fleet that has
    an owner of its own. The parts of a split fleet grant parts of the rate by their numbers of VMs,
    which add up to all of it. After SPLIT_GRACE_S, the larger part grants all of it and a smaller
    one little. After KNOWN_LATELY_S, VMs out of contact are taken to have ended.

    Args:
        in_contact: Number of other VMs in contact, by which the owners are chosen too.
        lost_contact_ages_s: Time since the last contact with each other VM that has not left.
        alone_fraction: The result while no other VM is known at all.
    """
    known_ages_s = [age_s for age_s in lost_contact_ages_s if age_s < KNOWN_LATELY_S]
    if not in_contact and not known_ages_s:
        return alone_fraction
    part = 1 + in_contact
    total = part + len(known_ages_s)
    lost = sum(age_s >= SPLIT_GRACE_S for age_s in known_ages_s)
    if 2 * part > total:
        return part / (total - lost)
    return part / total * (MINORITY_FRACTION if lost else 1.0)
