"""Test the assignment of targets to probing VMs."""

import random
from collections import Counter
from typing import Any

import pytest
import trio
from result import Ok
from steering_fakes import FLEET, FakeMembers, service, target

from wagtailbay.config import ConfigView
from wagtailbay.health import HealthAggregator, HealthMonitor, TargetReport, TargetState
from wagtailbay.health.const import REPORT_TTL_MS, TARGET_REPORT_KIND
from wagtailbay.membership import Fact, FactTable
from wagtailbay.transport import Request, Response

VMS = {"vm-1": "a1", "vm-2": "a2", "vm-3": "a1", "vm-4": "b1", "vm-5": "b2"}
TARGETS = tuple(target(f"t{n}", zone) for n, zone in enumerate(("a1", "a2", "b1", "b2") * 3))


def make_monitor(vm: str, **fields: Any) -> HealthMonitor:
    """Create the health monitor of a VM."""
    facts = FactTable(vm, 1)
    view = ConfigView(FLEET, {"records": service(TARGETS)})
    return HealthMonitor(
        vm,
        lambda: view,
        FakeMembers(VMS),
        facts,
        HealthAggregator(facts),
        trio.current_time,
        random.Random(1),
        **fields,
    )


class TestHealthMonitor:
    """Tests of assigned probes and of taking over probes."""

    def test_two_vms_of_the_region_probe_each_target(self) -> None:
        """Guards against too many VMs probing a target, which could use up its slots.

        Two VMs in the region probe each target.
        """
        probes = Counter()
        for vm in VMS:
            for _, name, _ in make_monitor(vm).targets_to_probe(0.0):
                region = next(t for t in TARGETS if t.target == name).availability_zone[0]
                assert region == VMS[vm][0]
                probes[name] += 1
        assert probes == {t.target: 2 for t in TARGETS}

    @pytest.mark.parametrize("take_over_probes", [True, False])
    def test_unreported_target_is_taken_over(self, take_over_probes: bool) -> None:
        """Guards against targets left unprobed when all VMs of their region are unreachable.

        VMs of other regions probe them instead.
        """
        monitor = make_monitor("vm-1", take_over_probes=take_over_probes)
        assigned = monitor.targets_to_probe(0.0)
        assert monitor.targets_to_probe(2.9) == assigned
        probes_all_targets = len(monitor.targets_to_probe(3.1)) == len(TARGETS)
        assert probes_all_targets is take_over_probes

    def test_reported_target_is_not_taken_over(self) -> None:
        """Guards against VMs that keep probing a target that its assigned probers report."""
        monitor = make_monitor("vm-1")
        monitor.targets_to_probe(0.0)
        prober = {"vm-4": "vm-4", "vm-5": "vm-5"}
        for name in (t.target for t in TARGETS if t.availability_zone[0] == "b"):
            for vm in prober:
                value = TargetReport("records", name, TargetState.OK)
                expires_s = 3.0 + REPORT_TTL_MS / 1000
                key = f"records/{name}"
                monitor.facts.merge([Fact(vm, 1, TARGET_REPORT_KIND, key, 1, value, expires_s)])
        zones = {t.target: t.availability_zone for t in TARGETS}
        assert {zones[name][0] for _, name, _ in monitor.targets_to_probe(3.5)} == {"a"}

    async def test_probe_tasks_follow_document(self, autojump_clock: Any) -> None:
        """Guards against probe tasks that keep running after their target is removed."""
        probe_counts = Counter()

        async def respond(address: str, request: Request, timeout_ms: int) -> Any:
            probe_counts[address] += 1
            return Ok(Response(200, (), b'{"state": "ok"}'))

        monitor = make_monitor("vm-1", fetch=respond)
        assigned = {address for _, _, address in monitor.targets_to_probe(0.0)}
        with trio.move_on_after(4.8):
            await monitor.run()
        assert assigned
        # Each probe makes two fetches because the health response lacks the load, with about one
        # probe per second.
        assert all(6 <= probe_counts[address] <= 14 for address in assigned)
        monitor.view = lambda: ConfigView(FLEET, {})
        with trio.move_on_after(2):
            await monitor.run()
        assert not monitor.tasks
