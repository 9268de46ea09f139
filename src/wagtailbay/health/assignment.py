"""Assign targets to the VMs that probe them."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from wagtailbay.config import FleetDocument, ServiceDocument, Target
from wagtailbay.health.const import PROBERS_PER_TARGET
from wagtailbay.membership import Member


def choose_probers(
    service: ServiceDocument,
    target: Target,
    live: Iterable[Member],
    fleet: FleetDocument,
) -> tuple[str, ...]:
    """Select the VMs that probe a target, using rendezvous hashing.

    VMs in the target's region are used; if none of them is live, VMs of all regions are.
    """
    members = tuple(live)
    region = fleet.region_of(target.availability_zone)
    local_members = [m for m in members if fleet.region_of(m.identity.availability_zone) == region]

    def rendezvous_hash(member: Member) -> int:
        hash_input = f"{service.service}\0{target.target}\0{member.identity.vm}"
        return xxh64_intdigest(hash_input.encode())

    ranked = sorted(local_members or members, key=rendezvous_hash)
    return tuple(member.identity.vm for member in ranked[:PROBERS_PER_TARGET])
