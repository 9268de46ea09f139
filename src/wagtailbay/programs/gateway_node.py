"""Background tasks and HTTP endpoints of a gateway VM."""

from collections.abc import Mapping

import trio
from attrs import define, field

from wagtailbay.clock import boottime_s
from wagtailbay.gateway.const import MAX_IDLE_S
from wagtailbay.gateway.handler import GatewayHandler
from wagtailbay.gateway.readiness import ReadinessEndpoint
from wagtailbay.locate import near_vms
from wagtailbay.locate.const import NEAR_TTL_MS
from wagtailbay.logs import log_event
from wagtailbay.membership import (
    VmIdentity,
    VmState,
    live_members,
)
from wagtailbay.membership.registration import VmRegistrar
from wagtailbay.metrics import Exporter
from wagtailbay.placement import OccupancyTracker, TargetSelector
from wagtailbay.platform import PlatformStore
from wagtailbay.platform.endpoints import LookupEndpoint
from wagtailbay.programs.fleet import Fleet
from wagtailbay.programs.gateway_fleet_view import build_fleet_document
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.quarantine import CrashRecorder
from wagtailbay.quota import WorkspaceQuota
from wagtailbay.regions import RegionTracker
from wagtailbay.registry import LeavingTracker, TargetRegistry
from wagtailbay.replica import LostObjectHold
from wagtailbay.requirements import FleetRequirements
from wagtailbay.rollout import (
    RolloutController,
    VersionSplitter,
)
from wagtailbay.routing import ActiveRouting, ServiceRule
from wagtailbay.supervision import keep_running
from wagtailbay.transport import ConnectionPool, HttpServer
from wagtailbay.usage import UsageParts

PROGRAM = "wagtailbay-gateway"
HOUSEKEEPING_INTERVAL_S = 1.0
# A VM calls all its neighbours within a second of its start, twice if a call times out.
STALE_START_DELAY_S = 2.0


@define
class GatewayNode:
    """Components of a gateway VM and the tasks that connect them."""

    settings: GatewaySettings
    identity: VmIdentity
    exporter: Exporter
    store: PlatformStore
    fleet: Fleet
    registrar: VmRegistrar
    routing: ActiveRouting
    registry: TargetRegistry
    leaving_tracker: LeavingTracker
    selector: TargetSelector
    occupancy: OccupancyTracker
    region_tracker: RegionTracker
    version_splitter: VersionSplitter
    rollout_controller: RolloutController
    quota: WorkspaceQuota
    crash_recorder: CrashRecorder
    handler: GatewayHandler
    pool: ConnectionPool
    server: HttpServer
    lost_objects: LostObjectHold
    usage: UsageParts | None = None
    started_s: float = field(factory=boottime_s)

    async def run_tasks(self, nursery: trio.Nursery) -> None:
        """Start all background tasks; the caller starts the servers."""
        self.handler.forwarder.background_nursery = nursery
        self.quota.background_nursery = nursery
        for name, task in {
            "object_updates": self.run_object_updates,
            "housekeeping": self.run_housekeeping,
            "quota": self.quota.run,
            "rollouts": self.rollout_controller.run,
            "crash_records": self.crash_recorder.run,
            "registration": self.registrar.run,
            "loop_lag": self.handler.loop_lag.run,
            "occupancy": self.occupancy.run,
            "region_plan": self.region_tracker.run,
            "leaving_targets": self.leaving_tracker.run,
            **(self.usage.tasks() if self.usage else {}),
        }.items():
            nursery.start_soon(keep_running, task, name)

    async def run_object_updates(self) -> None:
        """Apply each change of the replicated objects to routing, targets and rollouts."""
        replica = self.fleet.replica
        while True:
            now_s = boottime_s()
            answered_s = self.fleet.exchanger.store_answered_s(now_s)
            # This VM becomes ready with its first configuration, so crashes come before it.
            self.crash_recorder.apply_replica(now_s)
            self.routing.apply(replica.objects, replica.era, now_s, answered_s)
            self._apply_limits()
            services_by_name = self.services_by_name()
            cold_ms = {name: rule.cold_ms for name, rule in services_by_name.items()}
            objects = self.lost_objects.apply(replica.objects, replica.era, now_s, answered_s)
            self.registry.apply(objects, cold_ms, now_s)
            self.version_splitter.apply_objects(objects, now_s)
            wait_s = min(self.routing.wait_s(now_s), self.lost_objects.wait_s(now_s))
            with trio.move_on_after(wait_s):
                await replica.changed.wait()

    def services_by_name(self) -> Mapping[str, ServiceRule]:
        """Return the active service rules, keyed by service name."""
        table = self.routing.table
        return table.services_by_name if table else {}

    def _apply_limits(self) -> None:
        if self.routing.table is not None:
            limits = self.routing.table.limits
            self.server.max_body_bytes = limits.max_body_bytes
            self.server.idle_timeout_s = limits.idle_timeout_ms / 1000
            self.server.receive_timeout_s = limits.header_timeout_ms / 1000

    async def run_housekeeping(self) -> None:
        """Remove outdated target state and log the fleet size periodically."""
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            now_s = boottime_s()
            self.registry.prune_removed(now_s)
            self.selector.prune()
            await self.pool.close_idle(MAX_IDLE_S)
            live_vm_count = len(live_members(self.fleet.roster, now_s))
            log_event("state", live_vms=live_vm_count, targets=len(self.registry.targets))

    def can_become_ready(self, now_s: float) -> bool:
        """Return whether this newly started VM has a configuration that is current.

        An older one, which is all there is during an outage of the store, is accepted only once
        every peer that can be reached had the time to send a newer one. Otherwise a restarted VM
        could accept a key that it knew to be withdrawn before.
        """
        age_ms = self.fleet.freshness.age_ms(now_s)
        if self.routing.table is None or age_ms is None:
            return False
        if age_ms <= self.settings.requirements.contact_timeout_ms:
            return True
        return now_s - self.started_s >= STALE_START_DELAY_S

    async def become_live(self) -> None:
        """Announce this VM as live once it has a configuration."""
        while not self.can_become_ready(boottime_s()):
            with trio.move_on_after(0.1):
                await self.fleet.replica.changed.wait()
                await trio.lowlevel.checkpoint()
        self.fleet.roster.announce(VmState.LIVE)
        log_event("ready", version=self.routing.table.version)

    def is_ready(self) -> bool:
        """Return whether this VM accepts callers."""
        return self.fleet.roster.own_member.state is VmState.LIVE


def build_endpoints(node: GatewayNode) -> tuple[LookupEndpoint, ReadinessEndpoint]:
    """Build the HTTP endpoints for lookups and for readiness."""
    fleet_document = build_fleet_document(node.settings)

    def find_vms(zone: str):
        return near_vms(zone, node.fleet.roster, fleet_document, boottime_s())

    ttl_ms = lookup_ttl_ms(node.settings.requirements)
    return LookupEndpoint(find_vms, ttl_ms), ReadinessEndpoint(node.is_ready)


def lookup_ttl_ms(requirements: FleetRequirements) -> float:
    """Return how long clients may cache the response to a lookup."""
    return min(NEAR_TTL_MS, requirements.max_lookup_ttl_ms)
