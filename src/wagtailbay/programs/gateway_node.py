"""Assemble the parts of one gateway VM."""

import random
from collections.abc import Mapping
from math import inf

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.config import FleetDocument
from wagtailbay.config.models import AvailabilityZone
from wagtailbay.gateway.forward import GatewayForwarder
from wagtailbay.gateway.handler import GatewayHandler
from wagtailbay.locate import near_vms
from wagtailbay.locate.const import NEAR_TTL_MS
from wagtailbay.logs import log_event
from wagtailbay.membership import (
    LiveView,
    LoanGrant,
    LoanRequest,
    VmIdentity,
    VmState,
    live_members,
)
from wagtailbay.membership.registration import VmRegistrar
from wagtailbay.membership.settings import PeerSettings
from wagtailbay.metrics import Exporter, build_exporter
from wagtailbay.placement import ColdBudget, OccupancyKeeper, Placer
from wagtailbay.platform import PlatformStore, PlatformVocabulary
from wagtailbay.platform.front import LookupFront, ReadyFront
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.quarantine import CrashTable
from wagtailbay.quota import TokenBorrower, WorkspaceQuota
from wagtailbay.quota.const import BUDGET_PREFIX
from wagtailbay.registry import EVACUATION_PREFIX, TARGET_PREFIX, TargetRegistry
from wagtailbay.replica import PrefixFollower
from wagtailbay.rollout import (
    ROLLOUT_PREFIX,
    RolloutKeeper,
    RolloutOrder,
    RolloutPhase,
    RolloutTraffic,
)
from wagtailbay.routing import ROUTING_PREFIX, LiveRouting, ServiceRule, ServiceSplitter
from wagtailbay.store import CountedObjectStore, StoreError, StoreUnavailable
from wagtailbay.transport import ConnectionPool, HttpServer

PROGRAM = "wagtailbay-gateway"
PREFIXES = (ROUTING_PREFIX, TARGET_PREFIX, ROLLOUT_PREFIX, EVACUATION_PREFIX)
HOUSEKEEPING_S = 1.0
# Each call of the platform's store is priced, but the store may turn a third of the VMs away and
# serve the others. With one watcher a region these could be all of them, and a change was then in
# force only after 2.9 s, when the others found their knowledge stale.
WATCHERS_PER_REGION = 2
MAX_IDLE_CONNECTIONS = 32


@define
class GatewayNode:
    """Hold the parts of one gateway VM and run them."""

    settings: GatewaySettings
    identity: VmIdentity
    exporter: Exporter
    store: PlatformStore
    fleet: Fleet
    registrar: VmRegistrar
    routing: LiveRouting
    registry: TargetRegistry
    placer: Placer
    occupancy: OccupancyKeeper
    rollouts: RolloutTraffic
    keeper: RolloutKeeper
    quota: WorkspaceQuota
    handler: GatewayHandler
    pool: ConnectionPool
    server: HttpServer

    async def run_tasks(self, nursery: trio.Nursery) -> None:
        """Start every task but the servers."""
        self.handler.forwarder.background = nursery
        for task in (
            self.follow_objects,
            self.housekeep,
            self.quota.run,
            self.keeper.run,
            self.registrar.run,
            self.handler.lag.run,
            self.occupancy.run,
        ):
            nursery.start_soon(task)

    async def follow_objects(self) -> None:
        """Put each change of the replicated objects in force."""
        replica = self.fleet.replica
        while True:
            now_s = boottime_s()
            self.routing.take_in(replica.objects)
            self._apply_limits()
            services = self.services()
            cold_ms = {name: rule.cold_ms for name, rule in services.items()}
            self.registry.take_in(replica.objects, cold_ms, now_s)
            self.rollouts.take_in(replica.objects, now_s)
            await replica.changed.wait()

    def services(self) -> Mapping[str, ServiceRule]:
        """Return the rules of the services in force."""
        table = self.routing.table
        return table.services_by_name if table else {}

    def _apply_limits(self) -> None:
        if self.routing.table is not None:
            limits = self.routing.table.limits
            self.server.max_body_bytes = limits.max_body_bytes
            self.server.idle_timeout_s = limits.idle_timeout_ms / 1000
            self.server.receive_timeout_s = limits.header_timeout_ms / 1000

    async def housekeep(self) -> None:
        """Drop what is no longer needed until cancelled."""
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            now_s = boottime_s()
            self.registry.forget_removed(now_s)
            self.placer.forget()
            live = len(live_members(self.fleet.roster, now_s))
            log_event("state", live_vms=live, targets=len(self.registry.targets))

    def can_become_ready(self, now_s: float) -> bool:
        """Tell whether this VM knows the configuration, from the store or from a ready peer."""
        age_ms = self.fleet.freshness.age_ms(now_s)
        return self.routing.table is not None and age_ms is not None

    async def become_live(self) -> None:
        """Announce this VM once it knows what it must."""
        while not self.can_become_ready(boottime_s()):
            with trio.move_on_after(0.1):
                await self.fleet.replica.changed.wait()
                await trio.lowlevel.checkpoint()
        self.fleet.roster.announce(VmState.LIVE)
        log_event("ready", version=self.routing.table.version)

    def is_ready(self) -> bool:
        """Tell whether this VM takes callers."""
        return self.fleet.roster.own_member.state is VmState.LIVE


def fleet_document(settings: GatewaySettings) -> FleetDocument:
    """Return what the settings say of the fleet; how many VMs there are is not among it."""
    zones = tuple(AvailabilityZone(zone, region) for zone, region in settings.zones.items())
    return FleetDocument(max_vms=len(zones), availability_zones=zones)


@define
class GatewayBuilder:
    """Build the parts of one gateway VM; starts nothing."""

    settings: GatewaySettings
    source: random.Random = field(factory=random.Random)
    registry: TargetRegistry = field(factory=TargetRegistry)
    routing: LiveRouting = field(factory=LiveRouting)
    quota: WorkspaceQuota | None = None
    live: LiveView | None = None

    def build(self) -> GatewayNode:
        """Build all parts."""
        settings = self.settings
        exporter = build_exporter(PROGRAM, settings.vm)
        store = PlatformStore(settings.platform_address)
        identity = VmIdentity(
            settings.vm,
            round(unix_time_s() * 1000),
            settings.listen_address,
            settings.peer_address,
            settings.availability_zone,
        )
        fleet = self._build_fleet(identity, store, exporter)
        rollouts = RolloutTraffic(self.source)
        pool = ConnectionPool(MAX_IDLE_CONNECTIONS)
        handler = self._build_handler(fleet, rollouts, pool, exporter)
        return GatewayNode(
            settings=settings,
            identity=identity,
            exporter=exporter,
            store=store,
            fleet=fleet,
            registrar=VmRegistrar(store, identity, self.source),
            routing=self.routing,
            registry=self.registry,
            placer=handler.forwarder.placer,
            occupancy=OccupancyKeeper(
                handler.forwarder.placer,
                lambda: len(self._region_vms(fleet)),
                fleet.facts,
                lambda: fleet.exchanger.layout,
                boottime_s,
                self.source,
            ),
            rollouts=rollouts,
            keeper=self._build_keeper(fleet, store, rollouts),
            quota=handler.quota,
            handler=handler,
            pool=pool,
            server=HttpServer(handler.handle),
        )

    def _build_handler(
        self, fleet: Fleet, rollouts: RolloutTraffic, pool: ConnectionPool, exporter: Exporter
    ) -> GatewayHandler:
        vocabulary = PlatformVocabulary()
        quota = self.quota = self._build_quota(fleet)
        borrower = TokenBorrower(
            fleet.roster.own,
            quota,
            fleet.client.borrow,
            lambda: self._lenders(fleet),
            boottime_s,
            self.source,
        )
        forwarder = GatewayForwarder(
            self._build_placer(fleet),
            rollouts,
            pool,
            vocabulary,
            CrashTable(fleet.facts),
            boottime_s,
            exporter.metrics,
            live_vms=lambda: len(self._live(fleet)),
        )
        return GatewayHandler(
            self.routing,
            vocabulary,
            quota,
            borrower,
            forwarder,
            ServiceSplitter(self.source),
            fleet.freshness.age_ms,
            boottime_s,
            metrics=exporter.metrics,
        )

    def _build_fleet(self, identity: VmIdentity, store: PlatformStore, exporter: Exporter) -> Fleet:
        settings = self.settings
        document = fleet_document(settings)
        peers = PeerSettings(
            peer_listen_address=settings.peer_address,
            peers={
                name: address
                for address in settings.seeds
                if (name := address.rpartition(":")[0]) != settings.vm
            },
        )

        def follow(store, replica, freshness, is_watcher, clock) -> PrefixFollower:
            return PrefixFollower(
                store,
                replica,
                freshness,
                is_watcher,
                clock,
                self.source,
                PREFIXES,
                on_failure=self.registry.note_store_failure,
            )

        counted = CountedObjectStore(store, exporter.metrics.store_called)
        fleet = build_fleet(
            peers,
            identity,
            counted,
            None,
            lambda: document,
            boottime_s,
            make_reader=follow,
            has_lease=False,
            watchers_per_region=WATCHERS_PER_REGION,
            publishes_list=False,
            lender=self._lend,
        )
        fleet.peers.count = exporter.metrics.peer_exchanged
        exchanger = fleet.exchanger

        def pushes() -> bool:
            own = identity.vm
            return fleet.reader.is_watcher() or exchanger.layout.is_delegate(own)

        exchanger.pushes = pushes
        return fleet

    def _build_placer(self, fleet: Fleet) -> Placer:
        settings = self.settings

        def services() -> Mapping[str, ServiceRule]:
            return self.routing.table.services_by_name if self.routing.table else {}

        return Placer(
            settings.availability_zone,
            settings.zones,
            self.registry,
            services,
            ColdBudget(settings.vm, lambda: self._region_vms(fleet)),
            self.source,
        )

    def _lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Give up a token of a workspace's rate."""
        table = self.routing.table
        name = request.budget.removeprefix(BUDGET_PREFIX)
        workspaces = table.workspaces if table else ()
        found = next((known for known in workspaces if known.workspace == name), None)
        if found is None or self.quota is None:
            return LoanGrant(0, 0.0)
        return LoanGrant(0, self.quota.lend(found, now_s))

    def _lenders(self, fleet: Fleet) -> tuple[list[str], list[str]]:
        """Return the VMs that this one exchanges messages with, in its region and elsewhere."""
        near = set(self._region_vms(fleet))
        heard = [vm for vm, loop in fleet.peers.loops.items() if loop.error is None]
        return [vm for vm in heard if vm in near], [vm for vm in heard if vm not in near]

    def _region_vms(self, fleet: Fleet) -> list[str]:
        """Return the names of the live VMs of this VM's region."""
        zones, region = self.settings.zones, self.settings.region
        return [vm for vm, zone in self._live(fleet).items() if zones.get(zone) == region]

    def _live(self, fleet: Fleet) -> dict[str, str]:
        """Return the availability zone of each live VM by its name."""
        if self.live is None:
            self.live = LiveView(fleet.roster)
        return self.live.refresh(boottime_s()).zones

    def _build_quota(self, fleet: Fleet) -> WorkspaceQuota:
        def fleet_size() -> int:
            return max(len(self.settings.zones), len(self._live(fleet)))

        def contact_age_s(now_s: float) -> float:
            heard = [
                member.heard_s
                for member in fleet.roster.members.values()
                if member.heard_s is not None
            ]
            return now_s - max(heard) if heard else inf

        return WorkspaceQuota(
            fleet.facts,
            fleet_size,
            contact_age_s,
            boottime_s,
            self.source,
            lambda: fleet.exchanger.layout,
        )

    def _build_keeper(
        self, fleet: Fleet, store: PlatformStore, rollouts: RolloutTraffic
    ) -> RolloutKeeper:
        def live_vms() -> list[str]:
            return list(self._live(fleet))

        async def write(order: RolloutOrder, phase: RolloutPhase) -> Result[None, StoreError]:
            stored = fleet.replica.objects.get(ROLLOUT_PREFIX + order.service)
            if stored is None:
                return Err(StoreUnavailable("the order is not known any more"))
            written = await store.write_phase(order, stored.version, phase)
            return Ok(None) if isinstance(written, Ok) else written

        return RolloutKeeper(
            self.settings.vm,
            fleet.facts,
            rollouts,
            live_vms,
            write,
            boottime_s,
            self.source,
            lambda: fleet.exchanger.layout,
        )


def build_fronts(node: GatewayNode) -> tuple[LookupFront, ReadyFront]:
    """Build what answers look-ups and the question whether this VM is ready."""
    document = fleet_document(node.settings)

    def near(zone: str):
        return near_vms(zone, node.fleet.roster, document, boottime_s())

    return LookupFront(near, NEAR_TTL_MS), ReadyFront(node.is_ready)
