"""Probe the targets that fall to this VM."""

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import trio
from attrs import define, field

from wagtailbay.config import ConfigView
from wagtailbay.health.assign import choose_probers
from wagtailbay.health.const import ASSIGN_INTERVAL_S, UNCOVERED_AFTER_S
from wagtailbay.health.models import Members
from wagtailbay.health.probe import Fetch, ProbeLoop
from wagtailbay.health.state import TargetHealth
from wagtailbay.membership import FactTable, VmState
from wagtailbay.transport import fetch

# Service, target and address; a moved target is probed by a new task.
ProbeKey = tuple[str, str, str]


@define
class HealthMonitor:
    """Hold one task for each target that this VM probes.

    Attributes:
        view: The documents in force.
        basis: The documents and VMs from which the probers were chosen.
        probe_uncovered: Test-only switch; False leaves targets without reports alone.
    """

    vm: str
    view: Callable[[], ConfigView]
    members: Members
    facts: FactTable
    health: TargetHealth
    clock: Callable[[], float]
    random: random.Random
    fetch: Fetch = fetch
    probe_uncovered: bool = True
    tasks: dict[ProbeKey, trio.CancelScope] = field(factory=dict)
    first_seen_s: dict[ProbeKey, float] = field(factory=dict)
    basis: tuple[Any, ...] = ()
    probers: dict[tuple[str, str], tuple[str, ...]] = field(factory=dict)

    async def run(self) -> None:
        """Start and stop probe tasks as documents, VMs and reports change."""
        async with trio.open_nursery() as nursery:
            while True:
                self.assign(nursery, self.clock())
                await trio.sleep(ASSIGN_INTERVAL_S)

    def assign(self, nursery: trio.Nursery, now_s: float) -> None:
        """Bring the running tasks in line with the targets to probe now."""
        wanted = self.wanted(now_s)
        for key in [key for key in self.tasks if key not in wanted]:
            self.tasks.pop(key).cancel()
        for key in wanted - self.tasks.keys():
            scope = self.tasks[key] = trio.CancelScope()
            nursery.start_soon(partial(self._probe, key, scope))

    async def _probe(self, key: ProbeKey, scope: trio.CancelScope) -> None:
        service, target, address = key
        loop = ProbeLoop(service, target, address, self.facts, self.clock, self.random, self.fetch)
        with scope:
            await loop.run()

    def wanted(self, now_s: float) -> set[ProbeKey]:
        """Return the targets that this VM probes now."""
        view = self.view()
        if view.fleet is None:
            return set()
        self._assign_probers(view)
        wanted, known = set(), {}
        for service in view.services.values():
            for target in service.targets:
                key = (service.service, target.target, target.address)
                known[key] = self.first_seen_s.get(key, now_s)
                probers = self.probers[(service.service, target.target)]
                if self.vm in probers or self._is_uncovered(key, probers, known[key], now_s):
                    wanted.add(key)
        self.first_seen_s = known
        return wanted

    def _assign_probers(self, view: ConfigView) -> None:
        """Choose the probers of all targets again if documents or live VMs have changed."""
        live = self.members.with_state(VmState.LIVE)
        places = tuple((m.identity.vm, m.identity.availability_zone) for m in live)
        basis = (view.fleet, dict(view.services), places)
        if basis == self.basis:
            return
        self.basis = basis
        self.probers = {
            (service.service, target.target): choose_probers(service, target, live, view.fleet)
            for service in view.services.values()
            for target in service.targets
        }

    def _is_uncovered(
        self, key: ProbeKey, probers: tuple[str, ...], first_seen_s: float, now_s: float
    ) -> bool:
        """Tell whether this VM must probe because no other one reported for too long.

        Of several VMs that probe for this reason, the one with the smallest name goes on.
        """
        if not self.probe_uncovered:
            return False
        heard_s = self.health.last_heard_s(
            key[0], key[1], now_s, lambda vm: vm in probers or vm < self.vm
        )
        return now_s - max(heard_s or 0.0, first_seen_s) >= UNCOVERED_AFTER_S
