"""Fleet of VMs that report usage, without a network and on one steady clock."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from attrs import define, evolve, field
from result import Err, Ok

from wagtailbay.membership import FactTable, FleetLayout
from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.metrics import Metrics
from wagtailbay.store import OutcomeUnknown, StoredObject, StorePosition, VersionConflict
from wagtailbay.usage import (
    ReportOutcome,
    UsageParts,
    UsageReport,
    UsageSettings,
    UsageSurroundings,
    build_usage,
)
from wagtailbay_bench.memory_store import MemoryStore
from wagtailbay_standins.usage_api import UsageApiStandin

SETTINGS = UsageSettings(report_window_ms=5_000)
UNIX_START_S = 1_767_225_600.0
TICK_S = 0.1
Truth = dict[int, Counter]


@define
class EraStore(MemoryStore):
    """Store whose versions include its era, and that can come back from an older copy."""

    era: int = 0

    def copy(self) -> tuple[int, dict[str, StoredObject]]:
        """Return a copy of all objects."""
        return self.revision, dict(self.objects)

    def restore(self, copy: tuple[int, dict[str, StoredObject]]) -> None:
        """Come back from a copy, in the next era."""
        self.era += 1
        self.revision, self.objects = copy[0], {
            key: self._in_era(stored) for key, stored in copy[1].items()
        }

    def _in_era(self, stored: StoredObject) -> StoredObject:
        revision = StorePosition.from_version(stored.version).revision
        return evolve(stored, version=StorePosition(self.era, revision).version)

    async def put(self, key: str, value: Any, expected_version: int | None) -> Any:
        """Write an object if its revision fits; the platform's store compares no eras."""
        expected = StorePosition.from_version(expected_version or 0)
        stored = self.objects.get(key)
        if stored is not None and expected.revision:
            self.objects[key] = evolve(
                stored, version=StorePosition.from_version(stored.version).revision
            )
        written = await MemoryStore.put(self, key, value, expected.revision)
        if key in self.objects:
            self.objects[key] = self._in_era(self.objects[key])
        if isinstance(written, Ok):
            if expected_version and self.era > expected.era:
                return Err(OutcomeUnknown(key, "the store came back from an older copy"))
            return Ok(self.objects[key].version)
        if isinstance(written.err_value, VersionConflict):
            return Err(VersionConflict(key, self.version(key)))
        return written


@define
class FakeApi:
    """Sends reports of one VM to the stand-in without a connection.

    Attributes:
        outcome: Returned instead of sending, if set.
        before_check: Called before the last question whether to send.
        loses_answers: Whether reports take effect without an answer.
    """

    standin: UsageApiStandin
    outcome: ReportOutcome | None = None
    before_check: Callable[[], None] = lambda: None
    loses_answers: bool = False

    async def send(self, report: UsageReport, may_send: Callable[[], bool]) -> ReportOutcome:
        """Deliver a report at once."""
        if self.outcome is not None:
            return self.outcome
        self.before_check()
        if not may_send():
            return ReportOutcome.NOT_SENT
        self.standin.receive(report.holder, report.token, report.window, report.counts)
        return ReportOutcome.FAILED if self.loses_answers else ReportOutcome.ACCEPTED


@define
class SimulatedVm:
    """One VM of the fleet."""

    name: str
    facts: FactTable
    parts: UsageParts
    api: FakeApi
    store: EraStore
    is_frozen: bool = False
    is_partitioned: bool = False
    unix_step_s: float = 0.0


@define
class UsageFleet:
    """VMs with a shared store; each tick of 0.1 s runs their tasks once."""

    layout: Callable[[], FleetLayout] = lambda: FleetLayout({}, {})
    store: EraStore = field(factory=EraStore)
    now_s: float = 1_000.0
    vms: dict[str, SimulatedVm] = field(factory=dict)
    standin: UsageApiStandin = field(init=False)
    runs: int = 0
    ticks: int = 0
    dead: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the API on the clock of the fleet."""
        self.standin = UsageApiStandin(SETTINGS.lease_s, lambda: self.now_s)

    @property
    def unix_s(self) -> float:
        """Return the true time."""
        return UNIX_START_S + self.now_s - 1_000.0

    def add(self, name: str, unix_step_s: float = 0.0) -> SimulatedVm:
        """Start a VM, or start it again."""
        self.runs += 1
        self.dead.discard(name)
        facts, api = FactTable(name, self.runs), FakeApi(self.standin)
        vm: SimulatedVm | None = None
        surroundings = UsageSurroundings(
            name,
            self.store,
            facts,
            self.layout,
            lambda: frozenset(self.vms) - self.dead,
            lambda last_holder: self.rank(name, last_holder),
            lambda: self.now_s,
            lambda: self.unix_s + (unix_step_s if vm is None else vm.unix_step_s),
            Metrics(),
            f"run-{self.runs}",
        )
        parts = build_usage(SETTINGS, surroundings, api)
        vm = self.vms[name] = SimulatedVm(name, facts, parts, api, self.store)
        vm.unix_step_s = unix_step_s
        return vm

    def rank(self, name: str, last_holder: str) -> int | None:
        """Return the rank among the VMs that live, as any VM sees it."""
        live = sorted(frozenset(self.vms) - self.dead - ({last_holder} - {name}))
        return live.index(name) if name in live else None

    def kill(self, name: str) -> None:
        """End a VM's process; what it published stays."""
        self.dead.add(name)
        self.vms[name].is_frozen = True

    async def run(self, duration_s: float, requests: Callable[[float], None] | None = None) -> None:
        """Run the tasks of all VMs that are not frozen for some time."""
        for _ in range(round(duration_s / TICK_S)):
            self.ticks += 1
            self.now_s += TICK_S
            running = [vm for vm in self.vms.values() if not vm.is_frozen]
            if requests is not None:
                requests(self.now_s)
            if self.ticks % 5 == 0:
                for vm in running:
                    vm.parts.exchange.exchange(self.now_s)
                self._exchange_facts(running)
            for vm in running:
                await vm.parts.lease.tick(self.now_s)
                await vm.parts.reporter.send_next(self.now_s)

    def _exchange_facts(self, running: list[SimulatedVm]) -> None:
        connected = [vm for vm in running if not vm.is_partitioned]
        for vm in connected:
            neighbours = self.layout().neighbours(vm.name) or frozenset(self.vms)
            for other in connected:
                if other is not vm and other.name in neighbours:
                    vm.facts.merge(self._transmit(other))
            vm.facts.expire(self.now_s)

    @staticmethod
    def _transmit(vm: SimulatedVm) -> list[Any]:
        own = [fact for fact in vm.facts.facts.values() if fact.vm == vm.name]
        encoded = [(fact, DEFAULT_CODEC.encode(fact.kind, fact.value).unwrap()) for fact in own]
        return [evolve(f, value=DEFAULT_CODEC.decode(f.kind, data).unwrap()) for f, data in encoded]

    def change_counts(self) -> None:
        """Let a count arrive late in each of the last windows, so that totals differ from now on.

        A window that is decided for a second time then gets other counts.
        """
        for vm in self.vms.values():
            for window in range(self.window() - 4, self.window()):
                vm.parts.meter.counter.record_begun("late", window * SETTINGS.window_s)

    def holders(self) -> list[str]:
        """Return the VMs that may send now."""
        return [
            vm.name
            for vm in self.vms.values()
            if not vm.is_frozen and vm.parts.lease.may_send(self.now_s)
        ]

    def window(self) -> int:
        """Return the present window."""
        return SETTINGS.window_at(self.unix_s)


def traffic(fleet: UsageFleet, truth: Truth) -> Callable[[float], None]:
    """Return a source of one request of each of three workspaces at each VM and tick."""

    def send(now_s: float) -> None:
        for vm in fleet.vms.values():
            for workspace in ("a", "b", "c"):
                if not vm.is_frozen:
                    vm.parts.meter.record_begun(workspace, now_s)
                    truth.setdefault(fleet.window(), Counter())[workspace] += 1

    return send


async def start(*names: str, **options) -> tuple[UsageFleet, Truth, Callable[[float], None]]:
    """Return a fleet in which one VM holds the duty, with its traffic."""
    fleet, truth = UsageFleet(**options), {}
    for name in names or ("vm-1", "vm-2", "vm-3"):
        fleet.add(name)
    await fleet.run(12)
    return fleet, truth, traffic(fleet, truth)


def check_whole(fleet: UsageFleet, truth: Truth, tolerance: float = 0.0) -> None:
    """Check that all windows with traffic but the first one were reported, and are right."""
    assert not fleet.standin.violations
    last = fleet.window() - 3
    windows = [window for window in sorted(truth) if window <= last]
    assert windows
    assert set(windows) <= fleet.standin.reports.keys()
    for window in windows:
        reported = fleet.standin.reports[window]
        for workspace, count in truth[window].items():
            assert reported.get(workspace, 0) == pytest.approx(count, abs=tolerance * count)


def holder(fleet: UsageFleet) -> SimulatedVm:
    """Return the VM that holds the duty."""
    (name,) = fleet.holders()
    return fleet.vms[name]
