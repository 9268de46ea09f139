"""Assemble the request path and the control duties of one entry VM."""

import random
import uuid
from collections.abc import Callable

import trio
from attrs import define

from wagtailbay.access import AccessGate, KeyRing
from wagtailbay.allotment import Allotment, EqualShares, budgets_of
from wagtailbay.audit import AuditRecord, AuditWriter
from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.config import ConfigView, build_view
from wagtailbay.entry import RequestHandler
from wagtailbay.entry.deposit import DepositForwarder
from wagtailbay.entry.forward import Forwarder
from wagtailbay.health import HealthMonitor, TargetHealth
from wagtailbay.limits import ShareSource, WorkspaceLimiter
from wagtailbay.logs import format_line
from wagtailbay.membership import VmIdentity
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.metrics import Exporter, build_exporter
from wagtailbay.once import OnceGate, OutcomeWriter, StoreCalls
from wagtailbay.once.expiry import ExpirySweep
from wagtailbay.platform import HttpObjectStore
from wagtailbay.programs.entry_settings import EntrySettings
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.programs.fleet_view import FleetView
from wagtailbay.quarantine import CrashTable
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
    sweep: ExpirySweep
    audit: AuditWriter
    exporter: Exporter
    pool: ConnectionPool
    server: HttpServer
    chooser: Chooser
    config: "LiveConfig"

    async def run_tasks(self, nursery: trio.Nursery) -> None:
        """Start every task but the servers."""
        tasks: list[Callable] = [
            self.follow_config,
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
            await replica.changed.wait()

    async def _measure(self) -> None:
        while True:
            now_s = boottime_s()
            metrics = self.exporter.metrics
            age_ms = self.fleet.freshness.age_ms(now_s)
            if age_ms is not None:
                metrics.confirmed_age_changed(age_ms)
            for service in self.config.view.services.values():
                state = self.shift.picker.moves.state(service)
                if state is not None:
                    metrics.move_stepped(service.service, state.share_ppm)
            if self.allotment is not None:
                for budget, account in self.allotment.holding.accounts.items():
                    metrics.share_changed(budget, account.usable_ppm(now_s))
            await trio.sleep(METRICS_INTERVAL_S)


@define
class LiveConfig:
    """Hold the view of the documents in force."""

    view: ConfigView

    def services_workspaces(self) -> tuple[str, ...]:
        """Return the workspaces of all services."""
        services = self.view.services.values()
        return tuple(sorted({w.workspace for s in services for w in s.workspaces}))


def build_node(
    settings: EntrySettings, identity: VmIdentity, certificates: CertificateSource | None
) -> Node:
    """Build all parts of one entry VM; starts nothing."""
    started_s = boottime_s()
    config = LiveConfig(ConfigView())
    store = HttpObjectStore(settings.platform_address, settings.store_timeout_ms)
    exporter = build_exporter(PROGRAM, settings.vm)
    fleet = build_fleet(
        settings, identity, store, certificates, lambda: config.view.fleet, boottime_s
    )
    view = FleetView(fleet)
    shares, allotment = _build_shares(settings, config, fleet, view, store, started_s)
    audit = AuditWriter(store, exporter.metrics.audit_record_lost)
    health = TargetHealth(fleet.facts)
    monitor = HealthMonitor(
        identity.vm,
        lambda: config.view,
        fleet.roster,
        fleet.facts,
        health,
        boottime_s,
        random.Random(),
    )
    chooser = _build_chooser(settings, config, health, shares)
    shift = build_shift_controller(
        f"{identity.vm}/{identity.incarnation}",
        store,
        fleet.replica,
        fleet.facts,
        lambda: config.view,
        view,
        view,
        SharedVersionCaps(shares),
        lambda event, details: audit.record(_move_record(identity.vm, event, details)),
        boottime_s,
        unix_time_s,
        random.Random(),
    )
    shift.judges = shift.keeper.judges = settings.judge == "on"
    calls = StoreCalls(store)
    writer = OutcomeWriter(calls)
    once = OnceGate(calls, writer, identity.vm, identity.incarnation, boottime_s, unix_time_s)
    once.skip_claim = settings.once == "off"
    pool = ConnectionPool()
    crashes = CrashTable(fleet.facts)
    forwarder = Forwarder(chooser, shift.picker, pool, crashes, boottime_s, settings.vm)
    forwarder.metrics = exporter.metrics
    sections = {"config": ConfigStatus(lambda: config.view), "quarantine": crashes}
    if allotment is not None:
        sections["budgets"] = allotment
    handler = RequestHandler(
        view=lambda: config.view,
        gate=AccessGate(
            KeyRing(lambda: fleet.replica.objects),
            fleet.freshness.age_ms,
            fleet.quorum.has_quorum,
        ),
        limiter=WorkspaceLimiter(shares, boottime_s),
        forwarder=forwarder,
        deposits=DepositForwarder(once, forwarder),
        roster=fleet.roster,
        status=lambda now_s: build_status(fleet, sections, now_s),
        clock=boottime_s,
        metrics=exporter.metrics,
    )
    sweep = ExpirySweep(store, config.services_workspaces, unix_time_s)
    server = HttpServer(handler.handle)
    return Node(
        fleet,
        allotment,
        monitor,
        shift,
        writer,
        sweep,
        audit,
        exporter,
        pool,
        server,
        chooser,
        config,
    )


def _build_shares(
    settings: EntrySettings,
    config: LiveConfig,
    fleet: Fleet,
    view: FleetView,
    store: HttpObjectStore,
    started_s: float,
) -> tuple[ShareSource, Allotment | None]:
    if settings.shares == "equal":
        max_vms = lambda: config.view.fleet.max_vms if config.view.fleet else 1  # noqa: E731
        return EqualShares(max_vms, started_s), None
    allotment = Allotment(
        view,
        view,
        store,
        fleet.replica,
        fleet.facts,
        lambda: budgets_of(config.view),
        lambda: config.view.fleet.max_vms if config.view.fleet else None,
        boottime_s,
        started_s,
    )
    fleet.server.lender = allotment.lend
    return allotment.holding, allotment


def _build_chooser(
    settings: EntrySettings, config: LiveConfig, health: TargetHealth, shares: ShareSource
) -> Chooser:
    if settings.chooser == "round-robin":
        return RoundRobinChooser()
    if settings.chooser == "least-connections":
        return LeastConnectionsChooser(random.Random())
    regions = RegionBudget(shares, lambda name: config.view.services.get(name), boottime_s)
    budgets = SharedBudgets(regions, LinkBudget(shares, lambda: config.view.fleet))
    weights = DrainWeights(lambda: config.view.fleet, unix_time_s)
    return build_chooser(
        settings.availability_zone, health, budgets, weights, boottime_s, random.Random()
    )


def _move_record(vm: str, event: str, details: dict) -> AuditRecord:
    """Build the audit record of a step, an end or a rollback of a move."""
    return AuditRecord(
        record_id=uuid.uuid4().hex,
        when_unix_s=unix_time_s(),
        who=vm,
        action=event.replace("move_", "move."),
        subject=f"moves/{details.get('service', '')}",
        from_version=details.get("from_version"),
        to_version=details.get("to_version"),
        why=str(details.get("reason", "")),
        outcome="accepted",
        detail=format_line(details),
    )
