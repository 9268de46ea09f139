"""Tests with gateway processes that changes take effect although the watching VMs are lost."""

import signal

import pytest
import trio
from support.gateway import PlatformTarget

from wagtailbay.membership import Member, VmIdentity, VmState, choose_watchers
from wagtailbay.programs.gateway_builder import WATCHERS_PER_REGION
from wagtailbay.requirements import FleetRequirements
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_bench.soak.const import HOST
from wagtailbay_bench.soak.documents import (
    SoakRoute,
    SoakWorkspace,
    build_config,
    build_registration,
)
from wagtailbay_bench.soak.models import History
from wagtailbay_bench.soak.vms import SoakVm
from wagtailbay_standins.link import Link
from wagtailbay_standins.objects import ObjectApiStandin

ZONE = "r1-z1"
OLD_SERVICE, NEW_SERVICE = "records", "archive"
CONFIG_APPLY_S = FleetRequirements().config_apply_ms / 1000
# How long requests are sent after the change.
OBSERVED_S = CONFIG_APPLY_S + 1.0
KEYS = ("lasting-key", "withdrawn-key")


def build_change(version: int, service: str, keys: tuple[str, ...]) -> dict:
    """Return a configuration that sends the only route to a service."""
    routes = [
        SoakRoute("r", "/r/", service, True),
        # Names both services, so that their targets are known.
        SoakRoute("old", "/old/", OLD_SERVICE, True),
        SoakRoute("new", "/new/", NEW_SERVICE, True),
    ]
    workspaces = [SoakWorkspace(key.partition("-")[0], key) for key in keys]
    return build_config(f"{version:08x}", routes, workspaces)


class LostWatchersHarness:
    """Four gateways in one zone, each with a link of its own to the store, and two services."""

    def __init__(self, group: ProcessGroup, nursery: trio.Nursery) -> None:
        self.group, self.nursery = group, nursery
        self.api = ObjectApiStandin()
        self.targets = {name: PlatformTarget(name) for name in (OLD_SERVICE, NEW_SERVICE)}
        self.vms: list[SoakVm] = []
        self.links: dict[str, Link] = {}
        self.late_runs: list[str] = []

    async def start(self) -> None:
        """Start everything and wait until all VMs count as in touch."""
        self.api.put_spec("config", "main", build_change(7, OLD_SERVICE, KEYS))
        store_address = await self.nursery.start(self.api.serve)
        for name, target in self.targets.items():
            host, port = await self.nursery.start(target.serve)
            fields = build_registration(f"{host}:{port}", ZONE, name)
            self.api.put_fields("servers", name, fields)
        for number in range(4):
            link = Link(free_address("127.0.0.1"), store_address)
            await self.nursery.start(link.run)
            name = f"127.4.0.{number + 1}"
            vm = SoakVm(name, ZONE, self.group, History(), link.listen_address)
            self.links[name] = link
            self.vms.append(vm)
        for vm in self.vms:
            vm.seeds = [other.peer for other in self.vms[:3]]
            vm.start(first_start=True)
        for vm in self.vms:
            await vm.wait_ready()
        await trio.sleep(FleetRequirements().contact_timeout_ms / 1000)

    def watchers(self) -> list[SoakVm]:
        """Return the VMs that watch the store."""
        members = [Member(VmIdentity(vm.name, 1, "", "", ZONE), VmState.LIVE, 1) for vm in self.vms]
        names = choose_watchers(members, lambda zone: "r1", WATCHERS_PER_REGION)
        return [vm for vm in self.vms if vm.name in names]

    async def change_and_observe(self, vms: list[SoakVm]) -> None:
        """Move the route, withdraw a key and send requests to the VMs for a while."""
        self.api.put_spec("config", "main", build_change(8, NEW_SERVICE, KEYS[:1]))
        acknowledged_s = trio.current_time()
        with trio.move_on_after(OBSERVED_S):
            async with trio.open_nursery() as nursery:
                for vm in vms:
                    for key in KEYS:
                        nursery.start_soon(self._send_requests, vm, key, acknowledged_s)

    async def _send_requests(self, vm: SoakVm, key: str, acknowledged_s: float) -> None:
        number = 0
        while True:
            number += 1
            headers = (
                ("Request-Id", f"{vm.name}-{key}-{number}"),
                ("Authorization", f"Token {key}"),
                ("Deadline-Ms", "1000"),
            )
            age_s = trio.current_time() - acknowledged_s
            fetched = await fetch(vm.front, Request("GET", "/r/1", headers, host=HOST), 1_000)
            if age_s > CONFIG_APPLY_S and fetched.is_ok():
                ran_at_old = OLD_SERVICE.encode() in fetched.ok_value.body
                is_withdrawn = key != KEYS[0] and fetched.ok_value.status == 200
                if ran_at_old or is_withdrawn:
                    self.late_runs.append(f"{vm.name} {key} {age_s:.2f} s")
            await trio.sleep(0.05)


class TestLostWatchers:
    """A change takes effect in time on VMs that relied on lost watchers."""

    @pytest.mark.parametrize("loss", ["power", "store"])
    async def test_change_takes_effect_when_all_watchers_are_lost(self, loss: str) -> None:
        """Guards against the old service and a withdrawn key in use past the promised time.

        The watchers stop answering, as after a loss of power, or lose their path to the store.
        """
        with ProcessGroup() as group:
            async with trio.open_nursery() as nursery:
                harness = LostWatchersHarness(group, nursery)
                await harness.start()
                lost = harness.watchers()
                others = [vm for vm in harness.vms if vm not in lost]
                for vm in lost:
                    if loss == "power":
                        vm.send_signal(signal.SIGSTOP)
                    else:
                        await harness.links[vm.name].update(frozen=True)
                await trio.sleep(0.2)
                await harness.change_and_observe(others)
                nursery.cancel_scope.cancel()
        assert len(lost) == 2
        assert harness.late_runs == []
        assert len(harness.targets[NEW_SERVICE].requests) > 20
