"""Controller of the moves on one VM."""

import random
from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.config import ConfigView, ServiceDocument
from wagtailbay.membership import FactTable
from wagtailbay.shift.const import TICK_INTERVAL_S
from wagtailbay.shift.coordinator import AuditCallback, MoveCoordinator
from wagtailbay.shift.evidence import EvidencePublisher, deltas_since
from wagtailbay.shift.judge import JudgeState, judge, local_false_positive_rate
from wagtailbay.shift.models import (
    FleetContact,
    Lease,
    Stop,
    ValueLookup,
    VersionCap,
    VersionCounts,
)
from wagtailbay.shift.picker import MoveReader, MoveVersionPicker
from wagtailbay.shift.stops import StopRegistry
from wagtailbay.store import ObjectStore


@define
class _LocalAnalysis:
    """State of the judge for one move on this VM's own evidence."""

    judge_state: JudgeState
    previous_counts: dict[str, VersionCounts] = field(factory=dict)


@define
class ShiftController:
    """Publish and judge this VM's evidence, and coordinate moves while it holds the lease.

    Attributes:
        judge_enabled: Test-only switch; if False, this VM's own evidence never stops a move.
    """

    picker: MoveVersionPicker
    coordinator: MoveCoordinator
    stops: StopRegistry
    publisher: EvidencePublisher
    view: Callable[[], ConfigView]
    clock: Callable[[], float]
    judge_enabled: bool = True
    analyses: dict[str, _LocalAnalysis] = field(factory=dict)

    async def run(self) -> None:
        """Run the coordinator and the periodic tick until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.coordinator.run)
            while True:
                self.tick(self.clock())
                await trio.sleep(TICK_INTERVAL_S)

    def tick(self, now_s: float) -> None:
        """Publish this VM's counts and judge their increase since the last tick."""
        active: set[str] = set()
        view = self.view()
        max_vms = view.fleet.max_vms if view.fleet else 1
        for service in view.services.values():
            recorder = self.picker.recorder(service)
            state = self.picker.moves.state(service)
            if recorder is None or (state is not None and state.ended):
                continue
            active.add(recorder.move)
            counts_by_route = recorder.counts_by_route()
            self.publisher.publish(recorder, counts_by_route, now_s)
            self._judge(service, recorder.move, counts_by_route, max_vms, now_s)
        self.stops.refresh(active, now_s)
        self.analyses = {
            move: analysis for move, analysis in self.analyses.items() if move in active
        }

    def _judge(
        self,
        service: ServiceDocument,
        move: str,
        counts_by_route: dict[str, VersionCounts],
        max_vms: int,
        now_s: float,
    ) -> None:
        analysis = self.analyses.get(move)
        if analysis is None:
            judge_state = JudgeState(local_false_positive_rate(max_vms), len(service.routes))
            analysis = self.analyses[move] = _LocalAnalysis(judge_state)
        deltas, analysis.previous_counts = (
            deltas_since(analysis.previous_counts, counts_by_route),
            counts_by_route,
        )
        verdict = judge(analysis.judge_state, deltas, now_s) if self.judge_enabled else None
        if verdict is not None:
            version = service.version_plan.new_version
            self.stops.report(Stop(service.service, move, version, str(verdict)), now_s)


def build_shift_controller(
    holder: str,
    store: ObjectStore,
    lookup: ValueLookup,
    facts: FactTable,
    view: Callable[[], ConfigView],
    lease: Lease,
    contact: FleetContact,
    version_cap: VersionCap,
    audit: AuditCallback,
    clock: Callable[[], float],
    unix_clock: Callable[[], float],
    rng: random.Random,
) -> ShiftController:
    """Build the controller of one VM; the request path uses its ``picker``."""
    stops = StopRegistry(facts)
    picker = MoveVersionPicker(MoveReader(lookup), stops, contact, version_cap)
    coordinator = MoveCoordinator(
        holder, store, view, facts, stops, lease, audit, clock, unix_clock, rng
    )
    return ShiftController(picker, coordinator, stops, EvidencePublisher(facts), view, clock)
