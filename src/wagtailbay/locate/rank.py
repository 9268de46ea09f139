"""Rank the live entry VMs for a client."""

from attrs import asdict, define, field, frozen
from xxhash import xxh64_intdigest

from wagtailbay.config import FleetDocument
from wagtailbay.locate.blocks import BlockMap, build_block_map
from wagtailbay.locate.const import (
    ANSWER_TTL_MS,
    GROUPS_TTL_S,
    MAX_CACHED_ZONES,
    MAX_HASHED_VMS,
    MAX_VMS_OF_GROUP,
    UNHEARD_AFTER_S,
)
from wagtailbay.membership import Member, Roster, VmIdentity, VmState

Groups = tuple[list[VmIdentity], list[VmIdentity], list[VmIdentity]]


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
    return rank_groups(client, group_vms(availability_zone, roster, fleet, now_s))


@define
class VmRanker:
    """Rank live VMs for many clients, grouping the roster at most a few times a second.

    Attributes:
        groups: The groups of each availability zone and when they were built.
    """

    roster: Roster
    groups: dict[str, tuple[float, Groups]] = field(factory=dict)
    blocks: BlockMap = field(factory=BlockMap)
    mapped: FleetDocument | None = None

    def zone_of(self, client: str, fleet: FleetDocument) -> str:
        """Return the zone of the client's block, or this VM's own."""
        if fleet is not self.mapped:
            self.blocks, self.mapped = build_block_map(fleet.client_blocks), fleet
        return self.blocks.find(client) or self.roster.own.availability_zone

    def rank(
        self, client: str, availability_zone: str | None, fleet: FleetDocument, now_s: float
    ) -> LocateAnswer:
        """Rank live VMs as rank_vms does, from groups of up to GROUPS_TTL_S ago.

        Args:
            availability_zone: The client's, where it says so; otherwise its block decides.
        """
        availability_zone = availability_zone or self.zone_of(client, fleet)
        built_s, groups = self.groups.get(availability_zone, (float("-inf"), ([], [], [])))
        if now_s - built_s > GROUPS_TTL_S:
            if len(self.groups) >= MAX_CACHED_ZONES:
                self.groups.clear()
            groups = group_vms(availability_zone, self.roster, fleet, now_s)
            self.groups[availability_zone] = (now_s, groups)
        return rank_groups(client, groups)


def group_vms(availability_zone: str, roster: Roster, fleet: FleetDocument, now_s: float) -> Groups:
    """Return the live VMs of the zone, of the rest of its region, and of other regions."""
    regions = {zone.availability_zone: zone.region for zone in fleet.availability_zones}
    region = regions.get(availability_zone)
    groups: Groups = ([], [], [])
    for member in roster.members.values():
        if member.state is not VmState.LIVE or not _is_heard(member, roster, now_s):
            continue
        zone = member.identity.availability_zone
        same_region = region is not None and regions.get(zone) == region
        distance = 0 if zone == availability_zone else 1 if same_region else 2
        groups[distance].append(member.identity)
    return groups


def rank_groups(client: str, groups: Groups) -> LocateAnswer:
    """Return the best VMs of each group for a client."""
    ranked = [vm for group in groups for vm in _best(client, group)]
    return LocateAnswer(
        tuple(RankedVm(vm.vm, vm.address, vm.availability_zone) for vm in ranked), ANSWER_TTL_MS
    )


def _best(client: str, group: list[VmIdentity]) -> list[VmIdentity]:
    """Return the best few of a group.

    A large group is first cut to one availability zone, because hashing hundreds of names for each
    look-up would take a node's processor.
    """
    if len(group) > MAX_HASHED_VMS:
        zones = {vm.availability_zone for vm in group}
        chosen = max(zones, key=lambda zone: _weight(client, zone))
        group = [vm for vm in group if vm.availability_zone == chosen]
    return sorted(group, key=lambda vm: _weight(client, vm.vm))[:MAX_VMS_OF_GROUP]


def _weight(client: str, name: str) -> int:
    return xxh64_intdigest(f"{client}\0{name}".encode())


def _is_heard(member: Member, roster: Roster, now_s: float) -> bool:
    if member.identity.vm == roster.own.vm:
        return True
    return member.heard_s is not None and now_s - member.heard_s < UNHEARD_AFTER_S
