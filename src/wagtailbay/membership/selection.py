"""Select the live VMs, the store watchers and the caller of each pair of VMs."""

from collections.abc import Callable, Iterable
from math import inf

from attrs import define, field
from xxhash import xxh64_intdigest

from wagtailbay.capacity import high_capacity_vms
from wagtailbay.membership.const import (
    CONTACT_TIMEOUT_S,
    HEARTBEAT_S,
    INDIRECT_CONTACT_TIMEOUT_S,
    LIVE_VIEW_INTERVAL_S,
    WATCHERS_PER_REGION,
)
from wagtailbay.membership.models import Member, VmState
from wagtailbay.membership.roster import Roster


def rendezvous_order(subject: str, vms: Iterable[str]) -> list[str]:
    """Order VMs by rendezvous hashing; adding or removing a VM keeps the order of the others."""
    return sorted(vms, key=lambda vm: (xxh64_intdigest(f"{subject}\0{vm}".encode()), vm))


def writer_position(subject: str, vm: str, vms: Iterable[str]) -> int:
    """Return how many of the VMs write a subject before a VM; all of them if it is none of them."""
    names = rendezvous_order(subject, vms)
    return names.index(vm) if vm in names else len(names)


def live_members(roster: Roster, now_s: float) -> tuple[Member, ...]:
    """Return the live VMs with recent contact, and this VM unless it is leaving or has left."""
    return _members_in_contact(roster, (VmState.LIVE,), now_s)


def responsive_members(roster: Roster, now_s: float) -> tuple[Member, ...]:
    """Return the VMs that exchange messages, also those that do not serve callers yet.

    While a whole fleet starts, no VM is live; the VMs must not all act as if they were alone.
    """
    return _members_in_contact(roster, (VmState.JOINING, VmState.LIVE), now_s)


def _members_in_contact(
    roster: Roster, states: tuple[VmState, ...], now_s: float
) -> tuple[Member, ...]:
    own = roster.own_member
    members = [
        member
        for member in roster.with_state(*states)
        if member.identity.vm != roster.own.vm and is_in_contact(member, now_s)
    ]
    if own.state in (VmState.JOINING, VmState.LIVE):
        members.append(own)
    return tuple(members)


def is_in_contact(member: Member, now_s: float) -> bool:
    """Return whether this VM, or one that tells it, has heard of a member lately."""
    if member.contact_s is None:
        return False
    return now_s - member.contact_s < _contact_timeout_s(member)


def _contact_timeout_s(member: Member) -> float:
    # While this VM exchanges messages with the member directly, contact that others report is at
    # most about a heartbeat newer than its own.
    relay_delay_s = (
        inf if member.direct_contact_s is None else member.contact_s - member.direct_contact_s
    )
    is_direct = relay_delay_s < 2 * HEARTBEAT_S
    return CONTACT_TIMEOUT_S if is_direct else INDIRECT_CONTACT_TIMEOUT_S


@define
class LiveView:
    """Cache the live VMs for callers that need them with each request.

    Attributes:
        zones: Availability zone of each live VM by its name, this VM included.
        high_capacity: The live VMs that carry callers in a fleet of unequal VMs, else all.
        refreshed_s: When the roster was last read.
    """

    roster: Roster
    zones: dict[str, str] = field(factory=dict)
    high_capacity: frozenset[str] = frozenset()
    refreshed_s: float = float("-inf")

    def refresh(self, now_s: float) -> "LiveView":
        """Read the roster again if the view has expired, and return the view."""
        if now_s - self.refreshed_s >= LIVE_VIEW_INTERVAL_S:
            self.refreshed_s = now_s
            members = live_members(self.roster, now_s)
            self.zones = {m.identity.vm: m.identity.availability_zone for m in members}
            self.high_capacity = high_capacity_members(members)
        return self


def high_capacity_members(members: Iterable[Member]) -> frozenset[str]:
    """Return the names of the members that carry callers and control duties."""
    return high_capacity_vms({m.identity.vm: m.identity.capacity for m in members})


def choose_watchers(
    members: Iterable[Member],
    region_of: Callable[[str], str | None],
    per_region: int = WATCHERS_PER_REGION,
    is_store_failing: Callable[[str], bool] = lambda vm: False,
) -> frozenset[str]:
    """Return the names of the VMs that watch the store, per_region of them in each region.

    An availability zone without a known region counts as a region of its own. VMs whose store calls
    fail are chosen only where there are not enough others.
    """
    by_region: dict[str, list[str]] = {}
    for member in members:
        zone = member.identity.availability_zone
        by_region.setdefault(region_of(zone) or zone, []).append(member.identity.vm)
    return frozenset(
        vm
        for region, vms in by_region.items()
        for vm in sorted(rendezvous_order(f"watch\0{region}", vms), key=is_store_failing)[
            :per_region
        ]
    )


def is_call_initiator(own_vm: str, other_vm: str) -> bool:
    """Return whether own_vm makes the heartbeat calls of a pair.

    Each VM makes the calls in about half of its pairs.
    """
    low, high = sorted((own_vm, other_vm))
    low_initiates = xxh64_intdigest(f"pair\0{low}\0{high}".encode()) % 2 == 0
    return low_initiates == (own_vm == low)
