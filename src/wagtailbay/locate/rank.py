"""Rank the live entry VMs for a client."""

from attrs import asdict, frozen
from xxhash import xxh64_intdigest

from wagtailbay.config import FleetDocument
from wagtailbay.locate.const import ANSWER_TTL_MS, UNHEARD_AFTER_S
from wagtailbay.membership import Member, Roster, VmState


@frozen
class RankedVm:
    """Name one entry VM and where callers reach it."""

    vm: str
    address: str
    availability_zone: str


@frozen
class LocateAnswer:
    """Hold entry VMs, best first, and how long a client may use them."""

    vms: tuple[RankedVm, ...]
    ttl_ms: int

    def as_json(self) -> dict:
        """Return the answer as JSON values."""
        return asdict(self)


def rank_vms(
    client: str, availability_zone: str, roster: Roster, fleet: FleetDocument, now_s: float
) -> LocateAnswer:
    """Rank live VMs: same availability zone, same region, others; spread by rendezvous hashing.

    Args:
        client: Any text that identifies the client; the same one gets the same order.
        availability_zone: The client's, or that of the VM asked.
    """
    region = fleet.region_of(availability_zone)

    def distance(member: Member) -> int:
        zone = member.identity.availability_zone
        if zone == availability_zone:
            return 0
        return 1 if fleet.region_of(zone) == region else 2

    def weight(member: Member) -> int:
        return xxh64_intdigest(f"{client}\0{member.identity.vm}".encode())

    usable = [m for m in roster.with_state(VmState.LIVE) if _is_heard(m, roster, now_s)]
    ranked = sorted(usable, key=lambda member: (distance(member), weight(member)))
    vms = (
        RankedVm(m.identity.vm, m.identity.address, m.identity.availability_zone) for m in ranked
    )
    return LocateAnswer(tuple(vms), ANSWER_TTL_MS)


def _is_heard(member: Member, roster: Roster, now_s: float) -> bool:
    if member.identity.vm == roster.own.vm:
        return True
    return member.heard_s is not None and now_s - member.heard_s < UNHEARD_AFTER_S
