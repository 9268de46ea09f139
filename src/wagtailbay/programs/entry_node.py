"""Assembly of the request path and the background tasks of an entry VM."""

import random
import uuid
from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.access import Authorizer, KeyRing
from wagtailbay.allotment import Allotment, EqualShares, budget_limits
from wagtailbay.audit import AuditRecord, AuditWriter
from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.config import ConfigView, build_view
from wagtailbay.entry import RequestHandler
from wagtailbay.entry.at_most_once import AtMostOnceForwarder
from wagtailbay.entry.forward import Forwarder
from wagtailbay.health import HealthAggregator, HealthMonitor
from wagtailbay.limits import ShareSource, WorkspaceLimiter
from wagtailbay.locate import VmRanker
from wagtailbay.logs import format_line
from wagtailbay.membership import VmIdentity, live_members
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.metrics import Exporter, build_exporter
from wagtailbay.once import IdempotencyManager, OutcomeWriter, StoreCallLimiter
from wagtailbay.once.sweeper import ClaimSweeper
from wagtailbay.programs.entry_settings import EntrySettings
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.programs.fleet_view import FleetView
from wagtailbay.programs.mechanisms import SwitchableComponents, disable_mechanisms
from wagtailbay.quarantine import CrashRecorder, CrashTable
from wagtailbay.replica import ChangeSignal
from wagtailbay.shift import DrainWeights, SharedVersionCaps, build_shift_controller
from wagtailbay.shift.controller import ShiftController
from wagtailbay.status import ConfigStatus, build_status
from wagtailbay.steer import (
    Chooser,
    LeastConnectionsChooser,
    RoundRobinChooser,
    build_chooser,
)
from wagtailbay.steer.budgets import LinkBudget, RegionBudget, SharedBudgets
from wagtailbay.steer.usage import RegionUsage
from wagtailbay.store import HttpObjectStore, MeteredObjectStore, ObjectStore
from wagtailbay.supervision import keep_running
from wagtailbay.transport import ConnectionPool, HttpServer

PROGRAM = "wagtailbay-entry"
METRICS_INTERVAL_S = 1.0


@define
class EntryNode:
    """Components of an entry VM that run tasks or must be closed on shutdown."""

    fleet: Fleet
    allotment: Allotment | None
    health_monitor: HealthMonitor
    shift: ShiftController
    outcome_writer: OutcomeWriter
    claim_sweeper: ClaimSweeper
    audit_writer: AuditWriter
    exporter: Exporter
    pool: ConnectionPool
    server: HttpServer
    chooser: Chooser
    config: "ActiveConfig"
    ranker: VmRanker
    crash_recorder: CrashRecorder

    async def run_tasks(self, nursery: trio.Nursery) -> None:
        """Start all background tasks; the caller starts the servers."""
        tasks: dict[str, Callable] = {
            "config_updates": self.run_config_updates,
            "client_block_updates": self.run_client_block_updates,
            "health": self.health_monitor.run,
            "shift": self.shift.run,
            "outcomes": self.outcome_writer.run,
            "audit": self.audit_writer.run,
            "metrics": self._run_metrics_updates,
            "claim_sweep": self._run_claim_sweeps,
            "crash_records": self.crash_recorder.run,
        }
        if self.allotment is not None:
            tasks["allotment"] = self.allotment.run
        for name, task in tasks.items():
            nursery.start_soon(keep_running, task, name)

    async def _run_claim_sweeps(self) -> None:
        await self.claim_sweeper.run(lambda: self.fleet.lease.is_holder(boottime_s()))

    async def run_config_updates(self) -> None:
        """Rebuild the configuration view after each change of the replicated documents."""
        replica = self.fleet.replica
        while True:
            # This VM becomes ready with its first configuration, so crashes come before it.
            self.crash_recorder.apply_replica(boottime_s())
            self.config.view = build_view(self.config.view, replica.objects)
            self.chooser.fleet = self.config.view.fleet
            self.config.changed.notify()
            await replica.changed.wait()

    async def run_client_block_updates(self) -> None:
        """Rebuild the map of client address blocks after each configuration change."""
        while True:
            await self.ranker.map_blocks(self.config.view.fleet)
            await self.config.changed.wait()

    async def _run_metrics_updates(self) -> None:
        while True:
            now_s = boottime_s()
            metrics = self.exporter.metrics
            confirmed_age_ms = self.fleet.freshness.age_ms(now_s)
            if confirmed_age_ms is not None:
                metrics.set_confirmed_age(confirmed_age_ms)
            for service in self.config.view.services.values():
                state = self.shift.picker.moves.state(service)
                if state is not None:
                    metrics.set_move_share(service.service, state.share_ppm)
            if self.allotment is not None:
                for budget, account in self.allotment.shares.accounts.items():
                    metrics.set_budget_share(budget, account.usable_ppm(now_s))
            await trio.sleep(METRICS_INTERVAL_S)


@define
class ActiveConfig:
    """Configuration in force on this VM.

    Attributes:
        view: View of the current documents.
        changed: Notified after each change of the view.
    """

    view: ConfigView
    changed: ChangeSignal = field(factory=ChangeSignal)

    def workspace_names(self) -> tuple[str, ...]:
        """Return the sorted names of the workspaces of all services."""
        services = self.view.services.values()
        return tuple(sorted({w.workspace for s in services for w in s.workspaces}))


@define
class EntryNodeBuilder:
    """Builds the components of an entry VM without starting any task."""

    settings: EntrySettings
    identity: VmIdentity
    certificates: CertificateSource | None
    config: ActiveConfig = field(factory=lambda: ActiveConfig(ConfigView()))
    rng: random.Random = field(factory=random.Random)
    started_s: float = field(factory=boottime_s)
    store: ObjectStore = field(init=False)
    exporter: Exporter = field(init=False)
    fleet: Fleet = field(init=False)
    audit_writer: AuditWriter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components that all others depend on."""
        settings = self.settings
        self.exporter = build_exporter(PROGRAM, settings.vm)
        store = HttpObjectStore(settings.platform_address, settings.store_timeout_ms)
        self.store = MeteredObjectStore(store, self.exporter.metrics.record_store_call)
        self.fleet = build_fleet(
            settings,
            self.identity,
            self.store,
            self.certificates,
            lambda: self.config.view.fleet,
            boottime_s,
        )
        self.fleet.peers.record_call = self.exporter.metrics.record_peer_exchange
        self.audit_writer = AuditWriter(self.store, self.exporter.metrics.record_lost_audit_record)

    def build(self) -> EntryNode:
        """Build the remaining components and apply the test-only switches."""
        fleet, config = self.fleet, self.config
        fleet_view = FleetView(fleet)
        shares, allotment = self._build_shares(fleet_view)
        health_aggregator = HealthAggregator(fleet.facts)
        budgets = self._build_budgets(shares)
        chooser = self._build_chooser(health_aggregator, budgets)
        shift = self._build_shift(fleet_view, shares)
        outcome_writer = OutcomeWriter(StoreCallLimiter(self.store))
        pool = ConnectionPool(routes=self.settings.target_routes)
        forwarder = Forwarder(
            chooser, shift.picker, pool, CrashTable(fleet.facts), boottime_s, self.settings.vm
        )
        crash_recorder = CrashRecorder(
            self.settings.vm,
            forwarder.crashes,
            self.store,
            fleet.replica,
            lambda: [member.identity.vm for member in live_members(fleet.roster, boottime_s())],
            boottime_s,
            unix_time_s,
            self.rng,
        )
        forwarder.metrics = self.exporter.metrics
        idempotency_manager = self._build_idempotency_manager(outcome_writer)
        handler = self._build_handler(
            forwarder, idempotency_manager, shares, allotment, budgets.usage
        )
        components = SwitchableComponents(handler, shift, chooser, fleet.replica)
        disable_mechanisms(self.settings.without, components)
        return EntryNode(
            fleet=fleet,
            allotment=allotment,
            health_monitor=self._build_health_monitor(health_aggregator),
            shift=shift,
            outcome_writer=outcome_writer,
            claim_sweeper=ClaimSweeper(self.store, config.workspace_names, unix_time_s),
            audit_writer=self.audit_writer,
            exporter=self.exporter,
            pool=pool,
            server=HttpServer(handler.handle),
            chooser=chooser,
            config=config,
            ranker=handler.ranker,
            crash_recorder=crash_recorder,
        )

    def _build_health_monitor(self, health_aggregator: HealthAggregator) -> HealthMonitor:
        fleet, config = self.fleet, self.config
        return HealthMonitor(
            self.identity.vm,
            lambda: config.view,
            fleet.roster,
            fleet.facts,
            health_aggregator,
            boottime_s,
            self.rng,
            fetch=ConnectionPool(routes=self.settings.target_routes).fetch,
        )

    def _build_idempotency_manager(self, outcome_writer: OutcomeWriter) -> IdempotencyManager:
        vm, incarnation = self.identity.vm, self.identity.incarnation
        return IdempotencyManager(
            outcome_writer.store_calls, outcome_writer, vm, incarnation, boottime_s, unix_time_s
        )

    def _build_handler(
        self,
        forwarder: Forwarder,
        idempotency_manager: IdempotencyManager,
        shares: ShareSource,
        allotment: Allotment | None,
        usage: RegionUsage,
    ) -> RequestHandler:
        fleet, config = self.fleet, self.config
        status_sections = {
            "config": ConfigStatus(lambda: config.view),
            "quarantine": forwarder.crashes,
            "regions": usage,
        }
        if allotment is not None:
            status_sections["budgets"] = allotment
        return RequestHandler(
            view=lambda: config.view,
            authorizer=Authorizer(
                KeyRing(lambda: fleet.replica.objects),
                fleet.freshness.age_ms,
                fleet.quorum.has_quorum,
            ),
            limiter=WorkspaceLimiter(shares, boottime_s),
            forwarder=forwarder,
            at_most_once_forwarder=AtMostOnceForwarder(idempotency_manager, forwarder),
            roster=fleet.roster,
            status=lambda now_s: build_status(fleet, status_sections, now_s),
            clock=boottime_s,
            metrics=self.exporter.metrics,
        )

    def _build_shares(self, fleet_view: FleetView) -> tuple[ShareSource, Allotment | None]:
        if self.settings.shares == "equal":
            return EqualShares(lambda: self._max_vms() or 1, self.started_s), None
        allotment = Allotment(
            fleet_view,
            fleet_view,
            self.store,
            self.fleet.replica,
            self.fleet.facts,
            lambda: budget_limits(self.config.view),
            self._max_vms,
            boottime_s,
            self.started_s,
        )
        self.fleet.server.lender = allotment.lend
        return allotment.shares, allotment

    def _max_vms(self) -> int | None:
        fleet_document = self.config.view.fleet
        return fleet_document.max_vms if fleet_document else None

    def _build_budgets(self, shares: ShareSource) -> SharedBudgets:
        config = self.config
        regions = RegionBudget(shares, lambda name: config.view.services.get(name))
        return SharedBudgets(regions, LinkBudget(shares, lambda: config.view.fleet))

    def _build_chooser(
        self, health_aggregator: HealthAggregator, budgets: SharedBudgets
    ) -> Chooser:
        if self.settings.chooser == "round-robin":
            return RoundRobinChooser()
        if self.settings.chooser == "least-connections":
            return LeastConnectionsChooser(self.rng)
        config = self.config
        weights = DrainWeights(lambda: config.view.fleet, unix_time_s)
        zone = self.settings.availability_zone
        return build_chooser(zone, health_aggregator, budgets, weights, boottime_s, self.rng)

    def _build_shift(self, fleet_view: FleetView, shares: ShareSource) -> ShiftController:
        shift = build_shift_controller(
            f"{self.identity.vm}/{self.identity.incarnation}",
            self.store,
            self.fleet.replica,
            self.fleet.facts,
            lambda: self.config.view,
            fleet_view,
            fleet_view,
            SharedVersionCaps(shares),
            self._record_move,
            boottime_s,
            unix_time_s,
            self.rng,
        )
        shift.judge_enabled = shift.coordinator.judge_enabled = self.settings.judge == "on"
        return shift

    def _record_move(self, event: str, details: dict) -> None:
        """Write an audit record for a step, the end or the rollback of a version move."""
        record = AuditRecord(
            record_id=uuid.uuid4().hex,
            when_unix_s=unix_time_s(),
            who=self.identity.vm,
            action=event.replace("move_", "move."),
            subject=f"moves/{details['service']}",
            from_version=None,
            to_version=None,
            why=details["reason"],
            outcome="accepted",
            detail=format_line(details),
        )
        self.audit_writer.enqueue(record)
