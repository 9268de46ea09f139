"""Assembly of the components that make a VM a member of a fleet."""

import random
from collections.abc import Callable

import trio
from attrs import define, evolve

from wagtailbay.access.const import MAX_CONFIRMED_AGE_MS
from wagtailbay.config import FleetDocument
from wagtailbay.lease import LeaseManager
from wagtailbay.lease.const import LEASE_KEY
from wagtailbay.logs import log_event
from wagtailbay.membership import (
    Exchanger,
    FactTable,
    IsolationCheck,
    Lender,
    PeerClient,
    PeerServer,
    PeerSet,
    Quorum,
    Roster,
    TokenGranter,
    VmIdentity,
    VmState,
    WatcherSelection,
    live_members,
)
from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.membership.const import (
    EXCHANGE_TIMEOUT_MS,
    EXPIRY_INTERVAL_S,
    HOUSEKEEPING_INTERVAL_S,
    WATCHER_SILENCE_S,
    WATCHERS_PER_REGION,
)
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.membership.selection import rendezvous_order
from wagtailbay.membership.server import refuse_loan
from wagtailbay.membership.settings import PeerSettings
from wagtailbay.membership.vm_list_reader import VmListReader
from wagtailbay.replica import Freshness, PrefixReader, Replica, StoreReader
from wagtailbay.store import ObjectStore
from wagtailbay.supervision import keep_running

Clock = Callable[[], float]
Reader = StoreReader | PrefixReader
ReaderFactory = Callable[[ObjectStore, Replica, Freshness, Callable[[], bool], Clock], Reader]


@define
class Fleet:
    """Components of a VM for membership, peer exchange and replication.

    Attributes:
        lease: Lease on the control duties, None if this program has no such duties.
        document: Returns the fleet document in force, None if there is none yet.
    """

    exchanger: Exchanger
    vm_list_reader: VmListReader
    peers: PeerSet
    client: PeerClient
    server: PeerServer
    lease: LeaseManager | None
    document: Callable[[], FleetDocument | None]
    clock: Clock

    @property
    def roster(self) -> Roster:
        """Return the roster of known VMs."""
        return self.exchanger.roster

    @property
    def facts(self) -> FactTable:
        """Return the table of facts published by this VM and its peers."""
        return self.exchanger.facts

    @property
    def replica(self) -> Replica:
        """Return the local replica of the store's objects."""
        return self.exchanger.replica

    @property
    def freshness(self) -> Freshness:
        """Return the record of when the replica was last confirmed as current."""
        return self.exchanger.freshness

    @property
    def reader(self) -> Reader:
        """Return the reader that updates the replica from the store."""
        return self.exchanger.reader

    @property
    def quorum(self) -> Quorum:
        """Return the tracker of ready peers whose replicas this VM has caught up with."""
        return self.exchanger.quorum

    @property
    def isolation(self) -> IsolationCheck:
        """Return the isolation check; an isolated VM may have lost its shares without knowing."""
        return self.exchanger.isolation

    async def run(self, listen_address: str, *, task_status: trio.TaskStatus) -> None:
        """Run all tasks until cancelled; report startup once peers can connect."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, self.reader.run, "store_reader")
            nursery.start_soon(keep_running, self._run_housekeeping, "fleet_housekeeping")
            if self.lease is not None:
                nursery.start_soon(keep_running, self.lease.run, "lease")
            nursery.start_soon(keep_running, self.vm_list_reader.run, "vm_list")
            if listen_address:
                await nursery.start(self.server.serve, listen_address)
                nursery.start_soon(keep_running, self.peers.run, "peers")
            task_status.started()

    async def _run_housekeeping(self) -> None:
        """Record loop progress and store contact for the isolation check; remove expired state."""
        next_expiry_s = 0.0
        while True:
            now_s = self.clock()
            self.isolation.tick(now_s)
            if self.reader.contact.last_success_s is not None:
                self.isolation.record_contact(self.reader.contact.last_success_s, now_s)
            if now_s >= next_expiry_s:
                self.exchanger.remove_expired(now_s)
                next_expiry_s = now_s + EXPIRY_INTERVAL_S
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)

    def can_become_ready(self, now_s: float) -> bool:
        """Return whether this newly started VM has every configuration change in force."""
        age_ms = self.freshness.age_ms(now_s)
        confirmed = age_ms is not None and age_ms <= MAX_CONFIRMED_AGE_MS
        has_document = self.document() is not None
        return has_document and (confirmed or self.quorum.can_become_ready(now_s))

    async def become_live(self) -> None:
        """Announce this VM as live once its replica is up to date."""
        while not self.can_become_ready(self.clock()):
            with trio.move_on_after(HOUSEKEEPING_INTERVAL_S):
                await self.replica.changed.wait()
                await trio.lowlevel.checkpoint()  # Lets another task read the documents first.
        self.roster.announce(VmState.LIVE)
        log_event("ready", revision=self.replica.revision)

    async def announce_leaving(self) -> None:
        """Announce that this VM is leaving and release the control lease.

        A VM that was never ready remains joining, since a leaving VM counts towards a quorum.
        """
        if self.roster.own_member.state is VmState.LIVE:
            self.roster.announce(VmState.LEAVING)
        log_event("leaving")
        if self.lease is not None:
            await self.lease.release()

    async def announce_left(self) -> None:
        """Announce that this VM has left, and wait until its neighbours know or time out."""
        self.roster.announce(VmState.LEFT)
        log_event("left")
        await self.peers.exchange_with_neighbours(2 * EXCHANGE_TIMEOUT_MS)
        self.client.close_all()

    def status(self, now_s: float) -> dict:
        """Return the state of this VM and its view of the fleet as JSON values."""
        own_member = self.roster.own_member
        return {
            "vm": own_member.identity.vm,
            "state": own_member.state.value,
            "incarnation": own_member.identity.incarnation,
            "availability_zone": own_member.identity.availability_zone,
            "superseded": self.roster.superseded,
            "revision": self.replica.revision,
            "confirmed_age_ms": self.freshness.age_ms(now_s),
            "store_reachable": self.reader.contact.reachable,
            "store_watcher": self.reader.is_watcher(),
            "lease_holder": self.lease.holder() if self.lease else None,
            "holds_lease": self.lease is not None and self.lease.is_holder(now_s),
            "quorum": self.quorum.has_quorum(now_s),
            "isolated": self.isolation.is_isolated(now_s),
            "peers": [self._peer_status(vm, now_s) for vm in sorted(self._known_peers())],
        }

    def _known_peers(self) -> set[str]:
        return (set(self.roster.members) | set(self.peers.loops)) - {self.roster.own.vm}

    def _peer_status(self, vm: str, now_s: float) -> dict:
        member = self.roster.members.get(vm)
        sync_state, loop = self.exchanger.peer_states.get(vm), self.peers.loops.get(vm)
        direct_contact_s = member.direct_contact_s if member else None
        return {
            "vm": vm,
            "state": member.state.value if member else "unknown",
            "incarnation": member.identity.incarnation if member else None,
            "heard_age_ms": (
                None if direct_contact_s is None else max(0.0, (now_s - direct_contact_s) * 1000)
            ),
            "revision": sync_state.revision if sync_state else 0,
            "store_reachable": sync_state.store_reachable if sync_state else None,
            "error": str(loop.last_error) if loop and loop.last_error else None,
        }


def build_fleet(
    settings: PeerSettings,
    identity: VmIdentity,
    store: ObjectStore,
    certificates: CertificateSource | None,
    document: Callable[[], FleetDocument | None],
    clock: Clock,
    lender: Lender = refuse_loan,
    token_granter: TokenGranter | None = None,
    make_reader: ReaderFactory | None = None,
    has_lease: bool = True,
    watchers_per_region: int = WATCHERS_PER_REGION,
    publishes_list: bool = True,
    watcher_silence_s: float = WATCHER_SILENCE_S,
) -> Fleet:
    """Build the fleet components of a VM without starting any task.

    Args:
        watcher_silence_s: A VM without direct contact for this long does not count as a watcher.
    """
    exchanger = build_exchanger(
        identity,
        store,
        document,
        clock,
        make_reader or build_reader,
        watchers_per_region,
        watcher_silence_s,
    )
    vm_list_reader = VmListReader(
        store, exchanger.facts, exchanger.reader.is_watcher, clock, publishes_list
    )
    client = PeerClient(lambda vm: peers.resolve_address(vm), certificates, settings.peer_routes)
    peers = PeerSet(
        exchanger, client, DEFAULT_CODEC, clock, settings.peers, vm_list_reader.latest_list
    )
    # The server gets its own copy, because gRPC reads it from other threads.
    server_certificates = None if certificates is None else evolve(certificates)
    server = PeerServer(exchanger, DEFAULT_CODEC, clock, server_certificates, lender, token_granter)
    lease = build_lease(store, exchanger, clock) if has_lease else None
    return Fleet(exchanger, vm_list_reader, peers, client, server, lease, document, clock)


def build_exchanger(
    identity: VmIdentity,
    store: ObjectStore,
    document: Callable[[], FleetDocument | None],
    clock: Clock,
    make_reader: ReaderFactory,
    watchers_per_region: int,
    watcher_silence_s: float,
) -> Exchanger:
    """Build the state that a VM exchanges with its peers, and its store reader."""
    roster = Roster(identity)

    def region_of(zone: str) -> str | None:
        fleet_document = document()
        return fleet_document.region_of(zone) if fleet_document else None

    selection = WatcherSelection(
        roster,
        region_of,
        lambda: exchanger.layout,
        lambda vm: exchanger.is_store_failing(vm),
        watcher_silence_s,
        watchers_per_region,
    )

    def is_same_region(vm: str) -> bool:
        fleet_document, member = document(), roster.members.get(vm)
        if fleet_document is None or member is None:
            return True
        own_region = fleet_document.region_of(identity.availability_zone)
        return fleet_document.region_of(member.identity.availability_zone) == own_region

    replica, freshness = Replica(), Freshness()
    exchanger = Exchanger(
        roster,
        FactTable(identity.vm, identity.incarnation),
        replica,
        freshness,
        make_reader(store, replica, freshness, lambda: selection.is_watcher(clock()), clock),
        Quorum(
            roster,
            lambda: fleet_document.voter_count if (fleet_document := document()) else None,
            lambda vm: bool((fleet_document := document()) and fleet_document.is_voter(vm)),
        ),
        IsolationCheck.starting(clock()),
        is_same_region=is_same_region,
    )
    return exchanger


def build_reader(
    store: ObjectStore,
    replica: Replica,
    freshness: Freshness,
    is_watcher: Callable[[], bool],
    clock: Clock,
) -> StoreReader:
    """Build the reader for a store that can watch several prefixes in one call."""
    return StoreReader(store, replica, freshness, is_watcher, clock, random.Random())


def build_lease(store: ObjectStore, exchanger: Exchanger, clock: Clock) -> LeaseManager:
    """Build the lease manager; live VMs contend for the lease in rendezvous hash order."""
    roster, replica = exchanger.roster, exchanger.replica

    def rank(now_s: float) -> int | None:
        if roster.own_member.state is not VmState.LIVE:
            return None
        vm_names = (member.identity.vm for member in live_members(roster, now_s))
        return rendezvous_order(LEASE_KEY, vm_names).index(roster.own.vm)

    return LeaseManager(
        store,
        roster.own,
        lambda: replica.objects.get(LEASE_KEY),
        exchanger.freshness.age_ms,
        rank,
        clock,
    )
