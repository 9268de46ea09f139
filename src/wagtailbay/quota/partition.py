"""Decide how much of a rate its owner may grant while other VMs are out of contact."""

from collections.abc import Collection

from wagtailbay.quota.const import (
    IN_CONTACT_S,
    KNOWN_LATELY_S,
    MINORITY_FRACTION,
    SPLIT_GRACE_S,
)


def grant_fraction(contact_ages_s: Collection[float], alone_fraction: float) -> float:
    """Return which part of a workspace's rate its owner may grant.

    A VM that is out of contact may have crashed, or run in another part of a split fleet that has
    an owner of its own. The parts of a split fleet grant parts of the rate by their numbers of VMs,
    which add up to all of it. After SPLIT_GRACE_S, the larger part grants all of it and a smaller
    one little. After KNOWN_LATELY_S, VMs out of contact are taken to have ended.

    Args:
        contact_ages_s: Time since the last contact with each other VM that has not left.
        alone_fraction: The result while no other VM is known at all.
    """
    known = [age_s for age_s in contact_ages_s if age_s < KNOWN_LATELY_S]
    if not known:
        return alone_fraction
    in_contact = 1 + sum(age_s < IN_CONTACT_S for age_s in known)
    lost = sum(age_s >= SPLIT_GRACE_S for age_s in known)
    total = 1 + len(known)
    if 2 * in_contact > total:
        return in_contact / (total - lost)
    return in_contact / total * (MINORITY_FRACTION if lost else 1.0)
