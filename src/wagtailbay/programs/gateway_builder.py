"""Assembly of a gateway VM."""

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
from wagtailbay.platform import PlatformHeaderCodec, PlatformStore
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.programs.gateway_fleet_view import GatewayFleetView, build_fleet_document
from wagtailbay.programs.gateway_node import PROGRAM, GatewayNode
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.quarantine import CRASH_PREFIX, CrashRecorder, CrashTable
from wagtailbay.quota import RateOwners, TokenBank, WorkspaceQuota
from wagtailbay.regions import RegionRouter, RegionTracker
from wagtailbay.registry import (
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    LeavingTracker,
    TargetRegistry,
)
from wagtailbay.replica import LostObjectHold, PrefixReader
from wagtailbay.rollout import (
    ROLLOUT_PREFIX,
    RolloutController,
    RolloutOrder,
    RolloutPhase,
    VersionSplitter,
)
from wagtailbay.routing import (
    ROUTING_PREFIX,
    ActiveRouting,
    ServiceRule,
    ServiceSplitter,
    Workspace,
)
from wagtailbay.store import MeteredObjectStore, StoreError, StoreUnavailable
from wagtailbay.transport import BodyBudget, ConnectionPool, HttpServer, RunAhead

REPLICATED_PREFIXES = (
    ROUTING_PREFIX,
    TARGET_PREFIX,
    ROLLOUT_PREFIX,
    EVACUATION_PREFIX,
    CRASH_PREFIX,
)
# The operator's orders; the registry and the routing hold what else the store may lose.
HELD_PREFIXES = (ROLLOUT_PREFIX, EVACUATION_PREFIX)
# Evacuations and rollouts take effect within 5 s, other changes within 2.5 s. Running VMs tell each
# other of crashes without the store.
RARE_PREFIXES = frozenset({ROLLOUT_PREFIX, EVACUATION_PREFIX, CRASH_PREFIX})
# When the whole fleet starts, each VM calls its seeds at once and learns from their answers of most
# other VMs. A VM that restarts later lists the store at once.
PEER_WAIT_S = 1.0
# Calls to the platform's store are charged, but the store may reject a third of the VMs while it
# serves the others. With one watcher per region, all watchers could be rejected; a change then took
# effect only after 2.9 s, when the other VMs found their replicas stale.
WATCHERS_PER_REGION = 2
# A change that is accepted when all watchers are lost must still take effect in time. In fractions
# of that time: when a watcher that does not answer is replaced, and how often watchers probe the
# store. A probe fails after two intervals at most.
WATCHER_SILENCE_FRACTION = 0.6
STORE_PROBE_FRACTION = 0.2
# Regular heartbeats are a second apart.
MIN_WATCHER_SILENCE_S = 1.3
MAX_IDLE_CONNECTIONS = 32
# Memory of a process without the bodies of requests, with a large configuration.
BASE_MEMORY_MB = 120
# A body is held twice for a moment, when it is complete.
BODY_COPIES = 2
BYTES_PER_MB = 1_000_000
# Fraction of the store's read rate that VMs without fresh peers may use to list it.
MAX_LIST_RATE_FRACTION = 0.25


def build_body_budget(memory_mb: int) -> BodyBudget:
    """Return the budget for the bodies of requests in a process with the given memory."""
    return BodyBudget(max(0, memory_mb - BASE_MEMORY_MB) * BYTES_PER_MB / BODY_COPIES)


@define
class GatewayBuilder:
    """Builds the components of a gateway VM without starting any task."""

    settings: GatewaySettings
    rng: random.Random = field(factory=random.Random)
    registry: TargetRegistry = field(init=False)
    region_router: RegionRouter = field(init=False)
    routing: ActiveRouting = field(factory=ActiveRouting)
    quota: WorkspaceQuota | None = None

    def __attrs_post_init__(self) -> None:
        """Create the parts that others refer to, with the requirements of the deployment."""
        requirements = self.settings.requirements
        self.registry = TargetRegistry(requirements=requirements)
        self.region_router = RegionRouter(self.settings.region, requirements.max_region_shift)

    def build(self) -> GatewayNode:
        """Build all components."""
        settings = self.settings
        exporter = build_exporter(PROGRAM, settings.vm)
        store = PlatformStore(settings.platform_address)
        identity = VmIdentity(
            settings.vm,
            round(unix_time_s() * 1000),
            settings.listen_address,
            settings.peer_address,
            settings.availability_zone,
            settings.capacity,
        )
        fleet = self._build_fleet(identity, store, exporter)
        fleet_view = GatewayFleetView(settings, fleet)
        fleet.exchanger.pushes_objects = fleet_view.pushes_objects
        version_splitter = VersionSplitter(self.rng, settings.requirements)
        pool = ConnectionPool(MAX_IDLE_CONNECTIONS)
        handler = self._build_handler(fleet_view, version_splitter, pool, exporter)
        return GatewayNode(
            settings=settings,
            identity=identity,
            exporter=exporter,
            store=store,
            fleet=fleet,
            registrar=VmRegistrar(store, identity, self.rng, fleet.replica),
            routing=self.routing,
            registry=self.registry,
            leaving_tracker=LeavingTracker(self.registry, fleet.facts, boottime_s),
            selector=handler.forwarder.selector,
            occupancy=OccupancyTracker(
                handler.forwarder.selector,
                lambda: len(fleet_view.region_serving_vms()),
                fleet.facts,
                fleet_view.layout,
                boottime_s,
                self.rng,
            ),
            region_tracker=self._build_region_tracker(
                fleet_view, handler.forwarder.selector, exporter
            ),
            version_splitter=version_splitter,
            rollout_controller=self._build_rollout_controller(fleet_view, store, version_splitter),
            quota=handler.quota,
            crash_recorder=CrashRecorder(
                settings.vm,
                handler.forwarder.crashes,
                store,
                fleet.replica,
                fleet_view.live_vms,
                boottime_s,
                unix_time_s,
                self.rng,
            ),
            handler=handler,
            pool=pool,
            server=HttpServer(
                handler.handle,
                body_budget=build_body_budget(settings.memory_mb),
                run_ahead=RunAhead(handler, exporter.metrics.record_run_ahead),
            ),
            lost_objects=LostObjectHold(HELD_PREFIXES),
        )

    def _build_handler(
        self,
        fleet_view: GatewayFleetView,
        version_splitter: VersionSplitter,
        pool: ConnectionPool,
        exporter: Exporter,
    ) -> GatewayHandler:
        fleet, header_codec = fleet_view.fleet, PlatformHeaderCodec()
        quota = self.quota = self._build_quota(fleet_view)
        forwarder = GatewayForwarder(
            self._build_selector(fleet_view),
            version_splitter,
            pool,
            header_codec,
            CrashTable(fleet.facts),
            boottime_s,
            exporter.metrics,
            live_vm_count=lambda: len(fleet_view.serving_vms()),
            requirements=self.settings.requirements,
        )
        return GatewayHandler(
            self.routing,
            header_codec,
            quota,
            forwarder,
            ServiceSplitter(self.rng),
            fleet.freshness.age_ms,
            boottime_s,
            metrics=exporter.metrics,
            requirements=self.settings.requirements,
        )

    def _build_fleet(self, identity: VmIdentity, store: PlatformStore, exporter: Exporter) -> Fleet:
        settings = self.settings
        fleet_document = build_fleet_document(settings)
        peer_settings = PeerSettings(
            peer_listen_address=settings.peer_address,
            peers={
                name: address
                for address in settings.seeds
                if (name := address.rpartition(":")[0]) != settings.vm
            },
        )

        requirements = settings.requirements
        change_deadline_s = min(requirements.config_apply_ms, requirements.target_drain_ms) / 1000

        def build_prefix_reader(store, replica, freshness, is_watcher, clock) -> PrefixReader:
            return PrefixReader(
                store,
                replica,
                freshness,
                is_watcher,
                clock,
                self.rng,
                REPLICATED_PREFIXES,
                on_failure=self.registry.record_store_failure,
                min_list_interval_s=min_list_interval_s,
                rare_prefixes=RARE_PREFIXES,
                peer_wait_s=PEER_WAIT_S if settings.first_start and peer_settings.peers else 0.0,
                probe_interval_s=STORE_PROBE_FRACTION * change_deadline_s,
            )

        def min_list_interval_s() -> float:
            lists = len(fleet.roster.members) * len(REPLICATED_PREFIXES)
            return lists / (MAX_LIST_RATE_FRACTION * settings.requirements.store_reads_per_s)

        metered_store = MeteredObjectStore(store, exporter.metrics.record_store_call)
        fleet = build_fleet(
            peer_settings,
            identity,
            metered_store,
            None,
            lambda: fleet_document,
            boottime_s,
            make_reader=build_prefix_reader,
            has_lease=False,
            watchers_per_region=WATCHERS_PER_REGION,
            publishes_list=False,
            watcher_silence_s=max(
                MIN_WATCHER_SILENCE_S, WATCHER_SILENCE_FRACTION * change_deadline_s
            ),
            lender=self._lend,
        )
        # Nothing that the gateway stores names its run.
        fleet.exchanger.may_renumber = True
        fleet.replica.on_restore = exporter.metrics.record_store_restore
        fleet.peers.record_call = exporter.metrics.record_peer_exchange
        return fleet

    def _build_selector(self, fleet_view: GatewayFleetView) -> TargetSelector:
        settings = self.settings

        def services() -> Mapping[str, ServiceRule]:
            return self.routing.table.services_by_name if self.routing.table else {}

        return TargetSelector(
            settings.availability_zone,
            settings.zones,
            self.registry,
            services,
            ColdStartLimiter(
                settings.vm, fleet_view.region_serving_vms, requirements=settings.requirements
            ),
            self.rng,
            settings.requirements,
            region_plan=self.region_router,
        )

    def _build_region_tracker(
        self, fleet_view: GatewayFleetView, selector: TargetSelector, exporter: Exporter
    ) -> RegionTracker:
        return RegionTracker(
            self.region_router,
            selector,
            fleet_view.fleet.facts,
            fleet_view.layout,
            lambda: len(fleet_view.live_vms()),
            boottime_s,
            self.rng,
            exporter.metrics,
        )

    def _lend(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Grant tokens of a workspace's rate to another VM; nothing before all is built."""
        return LoanGrant(0, 0.0) if self.quota is None else self.quota.grant(request, now_s)

    def _workspaces(self) -> Mapping[str, Workspace]:
        return self.routing.table.workspaces_by_name if self.routing.table else {}

    def _build_quota(self, fleet_view: GatewayFleetView) -> WorkspaceQuota:
        return WorkspaceQuota(
            lambda: fleet_view.fleet.roster.own,
            RateOwners(fleet_view.rate_owner_candidates),
            fleet_view.fleet.client.borrow,
            self._workspaces,
            fleet_view.grant_fraction,
            boottime_s,
            TokenBank(self.settings.requirements),
        )

    def _build_rollout_controller(
        self, fleet_view: GatewayFleetView, store: PlatformStore, version_splitter: VersionSplitter
    ) -> RolloutController:
        fleet = fleet_view.fleet

        async def write_phase(order: RolloutOrder, phase: RolloutPhase) -> Result[None, StoreError]:
            stored = fleet.replica.objects.get(ROLLOUT_PREFIX + order.service)
            if stored is None:
                return Err(StoreUnavailable("the rollout order no longer exists"))
            write_result = await store.write_phase(order, stored.version, phase)
            return Ok(None) if isinstance(write_result, Ok) else write_result

        return RolloutController(
            self.settings.vm,
            fleet.facts,
            version_splitter,
            fleet_view.live_vms,
            write_phase,
            boottime_s,
            self.rng,
            fleet_view.layout,
        )
