"""Assemble the request path and the control duties of one entry VM."""

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
from wagtailbay.membership import VmIdentity
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.metrics import Exporter, build_exporter
from wagtailbay.once import IdempotencyManager, OutcomeWriter, StoreCallLimiter
from wagtailbay.once.expiry import ClaimSweeper
from wagtailbay.programs.entry_settings import EntrySettings
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.programs.fleet_view import FleetView
from wagtailbay.programs.without import Mechanisms, switch_off
from wagtailbay.quarantine import CrashTable
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
from wagtailbay.transport import ConnectionPool, HttpServer

PROGRAM = "wagtailbay-entry"
METRICS_INTERVAL_S = 1.0


@define
class Node:
    """Hold the parts of one entry VM that have tasks or must be closed."""

    fleet: Fleet
    allotment: Allotment | None
    monitor: HealthMonitor
    shift: ShiftController
    writer: OutcomeWriter
    sweep: ClaimSweeper
    audit: AuditWriter
    exporter: Exporter
    pool: ConnectionPool
    server: HttpServer
    chooser: Chooser
    config: "LiveConfig"
    ranker: VmRanker

    async def run_tasks(self, nursery: trio.Nursery) -> None:
        """Start every task but the servers."""
        tasks: list[Callable] = [
            self.follow_config,
            self.follow_client_blocks,
            self.monitor.run,
            self.shift.run,
            self.writer.run,
            self.audit.run,
            self._measure,
        ]
        if self.allotment is not None:
            tasks.append(self.allotment.run)
        for task in tasks:
            nursery.start_soon(task)
        nursery.start_soon(self.sweep.run, lambda: self.fleet.lease.is_holder(boottime_s()))

    async def follow_config(self) -> None:
        """Put each change of the documents in force."""
        replica = self.fleet.replica
        while True:
            self.config.view = build_view(self.config.view, replica.objects)
            self.chooser.fleet = self.config.view.fleet
            self.config.changed.notify()
            await replica.changed.wait()

    async def follow_client_blocks(self) -> None:
        """Map the client blocks of each new fleet document."""
        while True:
            await self.ranker.map_blocks(self.config.view.fleet)
            await self.config.changed.wait()

    async def _measure(self) -> None:
        while True:
            now_s = boottime_s()
            metrics = self.exporter.metrics
            age_ms = self.fleet.freshness.age_ms(now_s)
            if age_ms is not None:
                metrics.set_confirmed_age(age_ms)
            for service in self.config.view.services.values():
                state = self.shift.picker.moves.state(service)
                if state is not None:
                    metrics.set_move_share(service.service, state.share_ppm)
            if self.allotment is not None:
                for budget, account in self.allotment.shares.accounts.items():
                    metrics.set_budget_share(budget, account.usable_ppm(now_s))
            await trio.sleep(METRICS_INTERVAL_S)


@define
class LiveConfig:
    """Hold the view of the documents in force; changed is notified after each change."""

    view: ConfigView
    changed: ChangeSignal = field(factory=ChangeSignal)

    def services_workspaces(self) -> tuple[str, ...]:
        """Return the workspaces of all services."""
        services = self.view.services.values()
        return tuple(sorted({w.workspace for s in services for w in s.workspaces}))


@define
class NodeBuilder:
    """Build the parts of one entry VM; starts nothing."""

    settings: EntrySettings
    identity: VmIdentity
    certificates: CertificateSource | None
    config: LiveConfig = field(factory=lambda: LiveConfig(ConfigView()))
    source: random.Random = field(factory=random.Random)
    started_s: float = field(factory=boottime_s)
    store: ObjectStore = field(init=False)
    exporter: Exporter = field(init=False)
    fleet: Fleet = field(init=False)
    audit: AuditWriter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build what all other parts use."""
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
        self.audit = AuditWriter(self.store, self.exporter.metrics.record_lost_audit_record)

    def build(self) -> Node:
        """Build all parts."""
        fleet, config = self.fleet, self.config
        view = FleetView(fleet)
        shares, allotment = self._build_shares(view)
        health = HealthAggregator(fleet.facts)
        budgets = self._build_budgets(shares)
        chooser = self._build_chooser(health, budgets)
        shift = self._build_shift(view, shares)
        writer = OutcomeWriter(StoreCallLimiter(self.store))
        pool = ConnectionPool(routes=self.settings.target_routes)
        forwarder = Forwarder(
            chooser, shift.picker, pool, CrashTable(fleet.facts), boottime_s, self.settings.vm
        )
        forwarder.metrics = self.exporter.metrics
        once = self._build_once(writer)
        handler = self._build_handler(forwarder, once, shares, allotment, budgets.usage)
        mechanisms = Mechanisms(handler, shift, chooser, fleet.replica)
        switch_off(self.settings.without, mechanisms)
        return Node(
            fleet=fleet,
            allotment=allotment,
            monitor=self._build_monitor(health),
            shift=shift,
            writer=writer,
            sweep=ClaimSweeper(self.store, config.services_workspaces, unix_time_s),
            audit=self.audit,
            exporter=self.exporter,
            pool=pool,
            server=HttpServer(handler.handle),
            chooser=chooser,
            config=config,
            ranker=handler.ranker,
        )

    def _build_monitor(self, health: HealthAggregator) -> HealthMonitor:
        fleet, config = self.fleet, self.config
        return HealthMonitor(
            self.identity.vm,
            lambda: config.view,
            fleet.roster,
            fleet.facts,
            health,
            boottime_s,
            self.source,
            fetch=ConnectionPool(1, self.settings.target_routes).fetch,
        )

    def _build_once(self, writer: OutcomeWriter) -> IdempotencyManager:
        vm, incarnation = self.identity.vm, self.identity.incarnation
        return IdempotencyManager(
            writer.store_calls, writer, vm, incarnation, boottime_s, unix_time_s
        )

    def _build_handler(
        self,
        forwarder: Forwarder,
        once: IdempotencyManager,
        shares: ShareSource,
        allotment: Allotment | None,
        usage: RegionUsage,
    ) -> RequestHandler:
        fleet, config = self.fleet, self.config
        sections = {
            "config": ConfigStatus(lambda: config.view),
            "quarantine": forwarder.crashes,
            "regions": usage,
        }
        if allotment is not None:
            sections["budgets"] = allotment
        return RequestHandler(
            view=lambda: config.view,
            authorizer=Authorizer(
                KeyRing(lambda: fleet.replica.objects),
                fleet.freshness.age_ms,
                fleet.quorum.has_quorum,
            ),
            limiter=WorkspaceLimiter(shares, boottime_s),
            forwarder=forwarder,
            at_most_once_forwarder=AtMostOnceForwarder(once, forwarder),
            roster=fleet.roster,
            status=lambda now_s: build_status(fleet, sections, now_s),
            clock=boottime_s,
            metrics=self.exporter.metrics,
        )

    def _build_shares(self, view: FleetView) -> tuple[ShareSource, Allotment | None]:
        if self.settings.shares == "equal":
            return EqualShares(lambda: self._max_vms() or 1, self.started_s), None
        allotment = Allotment(
            view,
            view,
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
        document = self.config.view.fleet
        return document.max_vms if document else None

    def _build_budgets(self, shares: ShareSource) -> SharedBudgets:
        config = self.config
        regions = RegionBudget(shares, lambda name: config.view.services.get(name))
        return SharedBudgets(regions, LinkBudget(shares, lambda: config.view.fleet))

    def _build_chooser(self, health: HealthAggregator, budgets: SharedBudgets) -> Chooser:
        if self.settings.chooser == "round-robin":
            return RoundRobinChooser()
        if self.settings.chooser == "least-connections":
            return LeastConnectionsChooser(self.source)
        config = self.config
        weights = DrainWeights(lambda: config.view.fleet, unix_time_s)
        zone = self.settings.availability_zone
        return build_chooser(zone, health, budgets, weights, boottime_s, self.source)

    def _build_shift(self, view: FleetView, shares: ShareSource) -> ShiftController:
        shift = build_shift_controller(
            f"{self.identity.vm}/{self.identity.incarnation}",
            self.store,
            self.fleet.replica,
            self.fleet.facts,
            lambda: self.config.view,
            view,
            view,
            SharedVersionCaps(shares),
            self._record_move,
            boottime_s,
            unix_time_s,
            self.source,
        )
        shift.judge_enabled = shift.coordinator.judge_enabled = self.settings.judge == "on"
        return shift

    def _record_move(self, event: str, details: dict) -> None:
        """Record a step, an end or a rollback of a move in the audit trail."""
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
        self.audit.enqueue(record)
