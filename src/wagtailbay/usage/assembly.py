"""Assembly of the parts that report usage."""

import uuid
from collections.abc import Awaitable, Callable

from attrs import frozen

from wagtailbay.membership import FactTable, FleetLayout
from wagtailbay.metrics import Metrics
from wagtailbay.store import ObjectStore
from wagtailbay.usage.counter import UsageCounter, UsageMeter
from wagtailbay.usage.exchange import UsageExchange
from wagtailbay.usage.lease import UsageLease
from wagtailbay.usage.models import UsageSettings
from wagtailbay.usage.planner import WindowPlanner
from wagtailbay.usage.ports import ReportApi
from wagtailbay.usage.reporter import UsageReporter
from wagtailbay.usage.true_time import TrueTime


@frozen
class UsageSurroundings:
    """What the parts use of the VM.

    Attributes:
        expected_vms: Returns the VMs whose counts are waited for.
        rank: Returns this VM's rank among the candidates without the given one, the last holder;
            None if this VM may not hold the duty.
        run_id: Identifies this process.
    """

    vm: str
    store: ObjectStore
    facts: FactTable
    layout: Callable[[], FleetLayout]
    expected_vms: Callable[[], frozenset[str]]
    rank: Callable[[str], int | None]
    clock: Callable[[], float]
    unix_clock: Callable[[], float]
    metrics: Metrics
    run_id: str


@frozen
class UsageParts:
    """The parts of one VM that count, exchange and report usage."""

    meter: UsageMeter
    exchange: UsageExchange
    lease: UsageLease
    planner: WindowPlanner
    reporter: UsageReporter

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        return {
            "usage_exchange": self.exchange.run,
            "usage_lease": self.lease.run,
            "usage_reports": self.reporter.run,
        }


def new_run_id() -> str:
    """Return a name for this process that no other one has."""
    return uuid.uuid4().hex[:16]


def build_usage(
    settings: UsageSettings, surroundings: UsageSurroundings, api: ReportApi
) -> UsageParts:
    """Build the parts without starting any task."""
    vm = surroundings
    started_s = vm.clock()
    true_time = TrueTime(vm.facts, vm.layout, vm.unix_clock, started_s)
    counter = UsageCounter(settings)
    exchange = UsageExchange(
        settings, vm.run_id, counter, true_time, vm.facts, vm.layout, vm.clock, started_s
    )
    record_outcome = vm.metrics.record_usage
    planner = WindowPlanner(settings, exchange, true_time, vm.expected_vms, record_outcome)
    lease = UsageLease(
        vm.vm,
        vm.run_id,
        settings,
        vm.store,
        vm.facts,
        planner,
        vm.rank,
        vm.clock,
        true_time.unix_s,
        on_change=vm.metrics.set_usage_holder,
    )
    reporter = UsageReporter(
        settings, lease, planner, api, vm.clock, true_time.unix_s, record_outcome
    )
    return UsageParts(UsageMeter(counter, true_time), exchange, lease, planner, reporter)
