"""Group the live entry VMs by their distance from a client."""

from collections.abc import Iterable

from attrs import field, frozen
from xxhash import xxh64_intdigest

from wagtailbay.config import FleetDocument
from wagtailbay.locate.const import MAX_HASHED_VMS, UNHEARD_AFTER_S
from wagtailbay.membership import Member, Roster, VmIdentity, VmState


@frozen
class RankedVm:
    """Name one entry VM and where callers reach it."""

    vm: str
    address: str
    availability_zone: str


def _names(vms: tuple[RankedVm, ...]) -> tuple[bytes, ...]:
    return tuple(vm.vm.encode() for vm in vms)


@frozen
class VmGroup:
    """Hold VMs that are equally far from a client, with their encoded names.

    Attributes:
        zones: The group cut by availability zone, where it is too large to hash for each client.
        zone_names: The encoded names of these zones, in the same order.
    """

    vms: tuple[RankedVm, ...] = ()
    names: tuple[bytes, ...] = field(init=False)
    zones: "tuple[VmGroup, ...]" = ()
    zone_names: tuple[bytes, ...] = ()

    @names.default
    def _encode_names(self) -> tuple[bytes, ...]:
        return _names(self.vms)

    def best(self, seed: int, count: int) -> list[RankedVm]:
        """Return the VMs with the smallest hashes.

        A large group is first cut to one availability zone, because hashing hundreds of names for
        each look-up would take a node's processor.

        Args:
            seed: The hash of the client.
        """
        if self.zones:
            weights = [xxh64_intdigest(name, seed) for name in self.zone_names]
            return self.zones[weights.index(min(weights))].best(seed, count)
        weights = [xxh64_intdigest(name, seed) for name in self.names]
        order = sorted(range(len(weights)), key=weights.__getitem__)
        return [self.vms[index] for index in order[:count]]


def build_group(vms: Iterable[RankedVm]) -> VmGroup:
    """Build a group; a large one is cut by availability zone."""
    whole = tuple(vms)
    if len(whole) <= MAX_HASHED_VMS:
        return VmGroup(whole)
    by_zone: dict[str, list[RankedVm]] = {}
    for vm in whole:
        by_zone.setdefault(vm.availability_zone, []).append(vm)
    zones = tuple(VmGroup(tuple(part)) for part in by_zone.values())
    return VmGroup(whole, zones, tuple(zone.encode() for zone in by_zone))


@frozen
class VmGroups:
    """Hold the live VMs of a zone, of the rest of its region, and of other regions."""

    same_zone: VmGroup
    same_region: VmGroup
    others: VmGroup

    def __len__(self) -> int:
        """Return the number of VMs."""
        return len(self.same_zone.vms) + len(self.same_region.vms) + len(self.others.vms)


def live_vms(roster: Roster, now_s: float) -> tuple[VmIdentity, ...]:
    """Return the VMs that answers may name."""
    return tuple(
        member.identity
        for member in roster.members.values()
        if member.state is VmState.LIVE and _has_direct_contact(member, roster, now_s)
    )


def _has_direct_contact(member: Member, roster: Roster, now_s: float) -> bool:
    if member.identity.vm == roster.own.vm:
        return True
    return member.direct_contact_s is not None and now_s - member.direct_contact_s < UNHEARD_AFTER_S


def group_vms(availability_zone: str, live: Iterable[VmIdentity], fleet: FleetDocument) -> VmGroups:
    """Group live VMs by their distance from a client in an availability zone."""
    regions = {zone.availability_zone: zone.region for zone in fleet.availability_zones}
    region = regions.get(availability_zone)
    parts: tuple[list[RankedVm], ...] = ([], [], [])
    for vm in live:
        zone = vm.availability_zone
        same_region = region is not None and regions.get(zone) == region
        distance = 0 if zone == availability_zone else 1 if same_region else 2
        parts[distance].append(RankedVm(vm.vm, vm.address, zone))
    return VmGroups(*map(build_group, parts))
