"""Run the probes that are assigned to this VM."""

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import trio
from attrs import define, field

from wagtailbay.config import ConfigView
from wagtailbay.health.aggregator import HealthAggregator
from wagtailbay.health.assignment import choose_probers
from wagtailbay.health.const import ASSIGNMENT_INTERVAL_S, PROBE_TAKEOVER_DELAY_S
from wagtailbay.health.models import Members
from wagtailbay.health.probe import Fetch, ProbeLoop
from wagtailbay.membership import FactTable, VmState
from wagtailbay.supervision import keep_running
from wagtailbay.transport import fetch

# Service, target and address; a target whose address changes gets a new probe task.
ProbeKey = tuple[str, str, str]


@define
class HealthMonitor:
    """Runs one task for each target that this VM probes.

    Attributes:
        view: Returns the documents in effect.
        assignment_inputs: Documents and live VMs from which the current probers were selected.
        take_over_probes: Test-only switch; False probes only assigned targets.
    """

    vm: str
    view: Callable[[], ConfigView]
    members: Members
    facts: FactTable
    health: HealthAggregator
    clock: Callable[[], float]
    rng: random.Random
    fetch: Fetch = fetch
    take_over_probes: bool = True
    tasks: dict[ProbeKey, trio.CancelScope] = field(factory=dict)
    first_seen_s: dict[ProbeKey, float] = field(factory=dict)
    assignment_inputs: tuple[Any, ...] = ()
    probers: dict[tuple[str, str], tuple[str, ...]] = field(factory=dict)

    async def run(self) -> None:
        """Start and stop probe tasks as documents, VMs and reports change."""
        self.tasks.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self.update_tasks(nursery, self.clock())
                await trio.sleep(ASSIGNMENT_INTERVAL_S)

    def update_tasks(self, nursery: trio.Nursery, now_s: float) -> None:
        """Start and stop tasks so that they match the targets to probe."""
        wanted = self.targets_to_probe(now_s)
        for key in [key for key in self.tasks if key not in wanted]:
            self.tasks.pop(key).cancel()
        for key in wanted - self.tasks.keys():
            scope = self.tasks[key] = trio.CancelScope()
            nursery.start_soon(partial(self._probe, key, scope))

    async def _probe(self, key: ProbeKey, scope: trio.CancelScope) -> None:
        service, target, address = key
        loop = ProbeLoop(service, target, address, self.facts, self.clock, self.rng, self.fetch)
        with scope:
            await keep_running(loop.run, f"probe {service}/{target}")

    def targets_to_probe(self, now_s: float) -> set[ProbeKey]:
        """Return the targets that are assigned to this VM or taken over by it."""
        view = self.view()
        if view.fleet is None:
            return set()
        self._assign_probers(view)
        wanted, seen_s = set(), {}
        for service in view.services.values():
            for target in service.targets:
                key = (service.service, target.target, target.address)
                seen_s[key] = self.first_seen_s.get(key, now_s)
                probers = self.probers[(service.service, target.target)]
                if self.vm in probers or self._must_take_over(key, probers, seen_s[key], now_s):
                    wanted.add(key)
        self.first_seen_s = seen_s
        return wanted

    def _assign_probers(self, view: ConfigView) -> None:
        """Select the probers of all targets again if documents or live VMs have changed."""
        live = self.members.with_state(VmState.LIVE)
        locations = tuple((m.identity.vm, m.identity.availability_zone) for m in live)
        assignment_inputs = (view.fleet, dict(view.services), locations)
        if assignment_inputs == self.assignment_inputs:
            return
        self.assignment_inputs = assignment_inputs
        self.probers = {
            (service.service, target.target): choose_probers(service, target, live, view.fleet)
            for service in view.services.values()
            for target in service.targets
        }

    def _must_take_over(
        self, key: ProbeKey, probers: tuple[str, ...], first_seen_s: float, now_s: float
    ) -> bool:
        """Return whether this VM must probe a target because its probers have stopped reporting.

        If several VMs take over the same target, only the one with the smallest name continues.
        """
        if not self.take_over_probes:
            return False
        reported_s = self.health.last_report_s(
            key[0], key[1], now_s, lambda vm: vm in probers or vm < self.vm
        )
        return now_s - max(reported_s or 0.0, first_seen_s) >= PROBE_TAKEOVER_DELAY_S
