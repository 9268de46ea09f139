"""Group the live entry VMs by distance from a client."""

from collections.abc import Iterable

from attrs import field, frozen
from xxhash import xxh64_intdigest

from wagtailbay.config import FleetDocument
from wagtailbay.locate.const import HEARTBEAT_TIMEOUT_S, MAX_HASHED_VMS
from wagtailbay.membership import Member, Roster, VmIdentity, VmState


@frozen
class RankedVm:
    """Entry VM and the address at which clients reach it."""

    vm: str
    address: str
    availability_zone: str


def _encoded_names(vms: tuple[RankedVm, ...]) -> tuple[bytes, ...]:
    return tuple(vm.vm.encode() for vm in vms)


@frozen
class VmGroup:
    """VMs at the same distance from a client, with their encoded names.

    Attributes:
        zones: Subgroups by availability zone if the group is too large to hash for each client.
        zone_names: Encoded names of these zones, in the same order.
    """

    vms: tuple[RankedVm, ...] = ()
    names: tuple[bytes, ...] = field(init=False)
    zones: "tuple[VmGroup, ...]" = ()
    zone_names: tuple[bytes, ...] = ()

    @names.default
    def _encode_names(self) -> tuple[bytes, ...]:
        return _encoded_names(self.vms)

    def best(self, seed: int, count: int) -> list[RankedVm]:
        """Return the VMs with the smallest rendezvous hashes.

        A large group is first reduced to one availability zone, because hashing hundreds of names
        for each lookup would saturate a node's CPU.

        Args:
            seed: Hash of the client.
            count: Maximum number of VMs.
        """
        if self.zones:
            hashes = [xxh64_intdigest(name, seed) for name in self.zone_names]
            return self.zones[hashes.index(min(hashes))].best(seed, count)
        hashes = [xxh64_intdigest(name, seed) for name in self.names]
        order = sorted(range(len(hashes)), key=hashes.__getitem__)
        return [self.vms[index] for index in order[:count]]


def build_group(vms: Iterable[RankedVm]) -> VmGroup:
    """Build a group; a large one is split by availability zone."""
    all_vms = tuple(vms)
    if len(all_vms) <= MAX_HASHED_VMS:
        return VmGroup(all_vms)
    by_zone: dict[str, list[RankedVm]] = {}
    for vm in all_vms:
        by_zone.setdefault(vm.availability_zone, []).append(vm)
    zones = tuple(VmGroup(tuple(zone_vms)) for zone_vms in by_zone.values())
    return VmGroup(all_vms, zones, tuple(zone.encode() for zone in by_zone))


@frozen
class VmGroups:
    """Live VMs of a zone, of the rest of its region, and of other regions."""

    same_zone: VmGroup
    same_region: VmGroup
    others: VmGroup

    def __len__(self) -> int:
        """Return the total number of VMs."""
        return len(self.same_zone.vms) + len(self.same_region.vms) + len(self.others.vms)


def live_vms(roster: Roster, now_s: float) -> tuple[VmIdentity, ...]:
    """Return the live and responsive VMs, which answers may name."""
    return tuple(
        member.identity
        for member in roster.members.values()
        if member.state is VmState.LIVE and _is_responsive(member, roster, now_s)
    )


def _is_responsive(member: Member, roster: Roster, now_s: float) -> bool:
    if member.identity.vm == roster.own.vm:
        return True
    return (
        member.direct_contact_s is not None
        and now_s - member.direct_contact_s < HEARTBEAT_TIMEOUT_S
    )


def group_vms(availability_zone: str, live: Iterable[VmIdentity], fleet: FleetDocument) -> VmGroups:
    """Group live VMs by distance from a client in an availability zone."""
    regions = {zone.availability_zone: zone.region for zone in fleet.availability_zones}
    region = regions.get(availability_zone)
    by_distance: tuple[list[RankedVm], ...] = ([], [], [])
    for vm in live:
        zone = vm.availability_zone
        same_region = region is not None and regions.get(zone) == region
        distance = 0 if zone == availability_zone else 1 if same_region else 2
        by_distance[distance].append(RankedVm(vm.vm, vm.address, zone))
    return VmGroups(*map(build_group, by_distance))
