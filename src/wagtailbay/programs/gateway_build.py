"""Build the parts of one gateway VM."""

import random
from collections.abc import Mapping

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.gateway.forward import GatewayForwarder
from wagtailbay.gateway.handler import GatewayHandler
from wagtailbay.membership import LoanGrant, LoanRequest, VmIdentity
from wagtailbay.membership.registration import VmRegistrar
from wagtailbay.membership.settings import PeerSettings
from wagtailbay.metrics import Exporter, build_exporter
from wagtailbay.placement import ColdStartLimiter, OccupancyTracker, TargetSelector
from wagtailbay.platform import PlatformStore, PlatformVocabulary
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.programs.gateway_fleet import GatewayFleet, fleet_document
from wagtailbay.programs.gateway_node import PROGRAM, GatewayNode
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.quarantine import CrashTable
from wagtailbay.quota import TokenBorrower, WorkspaceQuota
from wagtailbay.quota.const import BUDGET_PREFIX
from wagtailbay.registry import EVACUATION_PREFIX, TARGET_PREFIX, TargetRegistry
from wagtailbay.replica import PrefixReader
from wagtailbay.rollout import (
    ROLLOUT_PREFIX,
    RolloutController,
    RolloutOrder,
    RolloutPhase,
    VersionSplitter,
)
from wagtailbay.routing import ROUTING_PREFIX, ActiveRouting, ServiceRule, ServiceSplitter
from wagtailbay.store import MeteredObjectStore, StoreError, StoreUnavailable
from wagtailbay.transport import ConnectionPool, HttpServer

PREFIXES = (ROUTING_PREFIX, TARGET_PREFIX, ROLLOUT_PREFIX, EVACUATION_PREFIX)
# Each call of the platform's store is priced, but the store may turn a third of the VMs away and
# serve the others. With one watcher a region these could be all of them, and a change was then in
# force only after 2.9 s, when the others found their knowledge stale.
WATCHERS_PER_REGION = 2
MAX_IDLE_CONNECTIONS = 32


@define
class GatewayBuilder:
    """Build the parts of one gateway VM; starts nothing."""

    settings: GatewaySettings
    source: random.Random = field(factory=random.Random)
    registry: TargetRegistry = field(factory=TargetRegistry)
    routing: ActiveRouting = field(factory=ActiveRouting)
    quota: WorkspaceQuota | None = None

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
        known = GatewayFleet(settings, fleet)
        fleet.exchanger.pushes_objects = known.pushes_objects
        rollouts = VersionSplitter(self.source)
        pool = ConnectionPool(MAX_IDLE_CONNECTIONS)
        handler = self._build_handler(known, rollouts, pool, exporter)
        return GatewayNode(
            settings=settings,
            identity=identity,
            exporter=exporter,
            store=store,
            fleet=fleet,
            registrar=VmRegistrar(store, identity, self.source),
            routing=self.routing,
            registry=self.registry,
            selector=handler.forwarder.selector,
            occupancy=OccupancyTracker(
                handler.forwarder.selector,
                lambda: len(known.region_vms()),
                fleet.facts,
                known.layout,
                boottime_s,
                self.source,
            ),
            rollouts=rollouts,
            keeper=self._build_keeper(known, store, rollouts),
            quota=handler.quota,
            handler=handler,
            pool=pool,
            server=HttpServer(handler.handle),
        )

    def _build_handler(
        self,
        known: GatewayFleet,
        rollouts: VersionSplitter,
        pool: ConnectionPool,
        exporter: Exporter,
    ) -> GatewayHandler:
        fleet, vocabulary = known.fleet, PlatformVocabulary()
        quota = self.quota = self._build_quota(known)
        borrower = TokenBorrower(
            fleet.roster.own,
            quota,
            fleet.client.borrow,
            known.lenders,
            boottime_s,
            self.source,
        )
        forwarder = GatewayForwarder(
            self._build_selector(known),
            rollouts,
            pool,
            vocabulary,
            CrashTable(fleet.facts),
            boottime_s,
            exporter.metrics,
            live_vm_count=lambda: len(known.live_zones()),
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

        def follow(store, replica, freshness, is_watcher, clock) -> PrefixReader:
            return PrefixReader(
                store,
                replica,
                freshness,
                is_watcher,
                clock,
                self.source,
                PREFIXES,
                on_failure=self.registry.record_store_failure,
            )

        counted = MeteredObjectStore(store, exporter.metrics.record_store_call)
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
        fleet.peers.record_call = exporter.metrics.record_peer_exchange
        return fleet

    def _build_selector(self, known: GatewayFleet) -> TargetSelector:
        settings = self.settings

        def services() -> Mapping[str, ServiceRule]:
            return self.routing.table.services_by_name if self.routing.table else {}

        return TargetSelector(
            settings.availability_zone,
            settings.zones,
            self.registry,
            services,
            ColdStartLimiter(settings.vm, known.region_vms),
            self.source,
        )

    def _lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Give up a token of a workspace's rate."""
        table = self.routing.table
        name = request.budget.removeprefix(BUDGET_PREFIX)
        found = table.workspaces_by_name.get(name) if table else None
        if found is None or self.quota is None:
            return LoanGrant(0, 0.0)
        return LoanGrant(0, self.quota.lend(found, now_s))

    def _build_quota(self, known: GatewayFleet) -> WorkspaceQuota:
        return WorkspaceQuota(
            known.fleet.facts,
            known.size,
            known.contact_age_s,
            boottime_s,
            self.source,
            known.layout,
        )

    def _build_keeper(
        self, known: GatewayFleet, store: PlatformStore, rollouts: VersionSplitter
    ) -> RolloutController:
        fleet = known.fleet

        async def write(order: RolloutOrder, phase: RolloutPhase) -> Result[None, StoreError]:
            stored = fleet.replica.objects.get(ROLLOUT_PREFIX + order.service)
            if stored is None:
                return Err(StoreUnavailable("the order is not known any more"))
            written = await store.write_phase(order, stored.version, phase)
            return Ok(None) if isinstance(written, Ok) else written

        return RolloutController(
            self.settings.vm,
            fleet.facts,
            rollouts,
            known.live_vms,
            write,
            boottime_s,
            self.source,
            known.layout,
        )
