"""Assemble what moves and drains need on one VM."""

import random
from collections.abc import Callable

import trio
from attrs import define, field

from wagtailbay.config import ConfigView, ServiceDocument
from wagtailbay.membership import FactTable
from wagtailbay.shift.const import TICK_S
from wagtailbay.shift.evidence import EvidencePublisher, growth_since
from wagtailbay.shift.judge import Judgement, judge, local_error_rate
from wagtailbay.shift.keeper import Audit, MoveKeeper
from wagtailbay.shift.models import Contact, Lease, Pair, Stop, ValueLookup, VersionBudget
from wagtailbay.shift.picker import MoveReader, MoveVersionPicker
from wagtailbay.shift.stops import StopBoard
from wagtailbay.store import ObjectStore


@define
class _LocalWatch:
    """Hold this VM's own test of one move."""

    judgement: Judgement
    before: dict[str, Pair] = field(factory=dict)


@define
class ShiftController:
    """Publish and judge this VM's own evidence, and keep moves while it holds the lease.

    Attributes:
        judges: Test-only switch; False never finds a version bad by own evidence.
    """

    picker: MoveVersionPicker
    keeper: MoveKeeper
    stops: StopBoard
    publisher: EvidencePublisher
    view: Callable[[], ConfigView]
    clock: Callable[[], float]
    judges: bool = True
    watches: dict[str, _LocalWatch] = field(factory=dict)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.keeper.run)
            while True:
                self.tick(self.clock())
                await trio.sleep(TICK_S)

    def tick(self, now_s: float) -> None:
        """Publish and judge what this VM counted in the last period."""
        active: set[str] = set()
        view = self.view()
        max_vms = view.fleet.max_vms if view.fleet else 1
        for service in view.services.values():
            book = self.picker.book(service)
            state = self.picker.moves.state(service)
            if book is None or (state is not None and state.ended):
                continue
            active.add(book.move)
            pairs = book.pairs()
            self.publisher.publish(book, pairs, now_s)
            self._judge(service, book.move, pairs, max_vms, now_s)
        self.stops.refresh(active, now_s)
        self.watches = {move: watch for move, watch in self.watches.items() if move in active}

    def _judge(
        self,
        service: ServiceDocument,
        move: str,
        pairs: dict[str, Pair],
        max_vms: int,
        now_s: float,
    ) -> None:
        watch = self.watches.get(move)
        if watch is None:
            judgement = Judgement(local_error_rate(max_vms), len(service.routes))
            watch = self.watches[move] = _LocalWatch(judgement)
        period, watch.before = growth_since(watch.before, pairs), pairs
        verdict = judge(watch.judgement, period, now_s) if self.judges else None
        if verdict is not None:
            version = service.version_plan.new_version
            self.stops.stop(Stop(service.service, move, version, str(verdict)), now_s)


def build_shift_controller(
    holder: str,
    store: ObjectStore,
    lookup: ValueLookup,
    facts: FactTable,
    view: Callable[[], ConfigView],
    lease: Lease,
    contact: Contact,
    budget: VersionBudget,
    audit: Audit,
    clock: Callable[[], float],
    unix_clock: Callable[[], float],
    source: random.Random,
) -> ShiftController:
    """Build the controller of one VM; its ``picker`` goes to the request path."""
    stops = StopBoard(facts)
    picker = MoveVersionPicker(MoveReader(lookup), stops, contact, budget)
    keeper = MoveKeeper(holder, store, view, facts, stops, lease, audit, clock, unix_clock, source)
    return ShiftController(picker, keeper, stops, EvidencePublisher(facts), view, clock)
