"""Rank the live entry VMs for a client."""

from attrs import define, field, frozen
from xxhash import xxh64_intdigest

from wagtailbay.config import FleetDocument
from wagtailbay.locate.blocks import BlockMap, build_block_map_in_slices
from wagtailbay.locate.const import (
    ANSWER_TTL_MS,
    GROUPS_TTL_S,
    MAX_ANSWER_VMS,
    MAX_CACHED_ZONES,
    MAX_REGION_VMS,
    MAX_UNFILTERED_VMS,
    MAX_ZONE_VMS,
)
from wagtailbay.locate.groups import RankedVm, VmGroups, group_vms, live_vms
from wagtailbay.membership import Roster, VmIdentity


@frozen
class LocateAnswer:
    """Entry VMs, best first, and how long a client may cache them."""

    vms: tuple[RankedVm, ...]
    ttl_ms: int

    def as_json(self) -> dict:
        """Return the answer as JSON values."""
        vms = [
            {"vm": vm.vm, "address": vm.address, "availability_zone": vm.availability_zone}
            for vm in self.vms
        ]
        return {"vms": vms, "ttl_ms": self.ttl_ms}


def rank_vms(
    client: str, availability_zone: str, roster: Roster, fleet: FleetDocument, now_s: float
) -> LocateAnswer:
    """Rank live VMs by same zone, same region and others; rendezvous hashing spreads clients.

    Args:
        client: Text that identifies the client; the same client gets the same order.
        availability_zone: Zone of the client, or of the VM that answers.
    """
    return rank_groups(client, group_vms(availability_zone, live_vms(roster, now_s), fleet))


@define
class VmRanker:
    """Ranks live VMs for many clients, reading the roster at most a few times per second.

    Attributes:
        live: Live VMs when the roster was last read.
        roster_read_s: Time of the last roster read.
        groups: Cached groups of these VMs by requested availability zone.
        grouped_fleet: Fleet document on which the groups are based.
        block_map: Zones of the client blocks in ``mapped_fleet``.
        mapped_fleet: Fleet document of the block map; a newer one may be being mapped.
    """

    roster: Roster
    live: tuple[VmIdentity, ...] = ()
    roster_read_s: float = float("-inf")
    groups: dict[str, VmGroups] = field(factory=dict)
    grouped_fleet: FleetDocument | None = None
    block_map: BlockMap = field(factory=BlockMap)
    mapped_fleet: FleetDocument | None = None

    async def map_blocks(self, fleet: FleetDocument | None) -> None:
        """Build the block map of a fleet document unless it is already built."""
        if fleet is None or fleet is self.mapped_fleet:
            return
        self.block_map, self.mapped_fleet = (
            await build_block_map_in_slices(fleet.client_blocks),
            fleet,
        )

    def client_zone(self, client: str) -> str:
        """Return the zone of the client's block, or this VM's zone if the client is unmapped."""
        return self.block_map.lookup(client) or self.roster.own.availability_zone

    def rank(
        self, client: str, availability_zone: str | None, fleet: FleetDocument, now_s: float
    ) -> LocateAnswer:
        """Rank live VMs like ``rank_vms``, from a roster state up to GROUPS_TTL_S old.

        Args:
            availability_zone: Zone stated by the client; if None, its client block determines it.
        """
        self._refresh(fleet, now_s)
        availability_zone = availability_zone or self.client_zone(client)
        groups = self.groups.get(availability_zone)
        if groups is None:
            if len(self.groups) >= MAX_CACHED_ZONES:
                self.groups.clear()
            groups = group_vms(availability_zone, self.live, fleet)
            self.groups[availability_zone] = groups
        return rank_groups(client, groups)

    def _refresh(self, fleet: FleetDocument, now_s: float) -> None:
        """Clear the cached groups if the fleet document or the live VMs have changed."""
        if fleet is not self.grouped_fleet:
            self.grouped_fleet = fleet
            self.groups.clear()
        if now_s - self.roster_read_s <= GROUPS_TTL_S:
            return
        live, self.roster_read_s = live_vms(self.roster, now_s), now_s
        if live != self.live:
            self.live = live
            self.groups.clear()


def rank_groups(client: str, groups: VmGroups) -> LocateAnswer:
    """Return the best VMs of each group for a client, or all VMs of a small fleet."""
    seed = xxh64_intdigest(client.encode())
    if len(groups) <= MAX_UNFILTERED_VMS:
        limits = (MAX_UNFILTERED_VMS,) * 3
    else:
        limits = (MAX_ZONE_VMS, MAX_REGION_VMS, MAX_ANSWER_VMS)
    selected: list[RankedVm] = []
    for group, limit in zip(
        (groups.same_zone, groups.same_region, groups.others), limits, strict=True
    ):
        if len(selected) < limit:
            selected += group.best(seed, limit - len(selected))
    return LocateAnswer(tuple(selected), ANSWER_TTL_MS)
