"""State shared by the faults that are injected into a running deployment."""

import random
from collections.abc import AsyncIterator, Collection, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio
from attrs import define, field

from wagtailbay_bench.certificates import CertificateFolder
from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.network import Network
from wagtailbay_bench.prove.const import READY_TIMEOUT_S
from wagtailbay_bench.prove.models import History
from wagtailbay_bench.prove.scenario import RECORDS_TARGETS


@define
class FaultContext:
    """Deployment under test, its controls and the faults that are active in it.

    Attributes:
        until_s: The trio clock time by which link faults end.
        reserved_vms: VMs that a fault currently stops, freezes or kills.
        offline_vms: Killed VMs that are not ready again, so they relay nothing to their peers.
        frozen_vms: VMs whose processes are currently paused.
        active_store_faults: The faults currently set on the platform stand-in.
        withdrawn_workspaces: Workspaces whose secondary key was withdrawn.
    """

    deployment: Deployment
    network: Network
    controls: Controls
    history: History
    rng: random.Random
    certificates: CertificateFolder | None
    until_s: float
    reserved_vms: set[str] = field(factory=set)
    offline_vms: set[str] = field(factory=set)
    frozen_vms: set[str] = field(factory=set)
    active_store_faults: dict[str, float] = field(factory=dict)
    withdrawn_workspaces: set[str] = field(factory=set)

    def choose_vm(self) -> str:
        """Return a random VM without reserving it."""
        return self.rng.choice(list(self.deployment.vm_addresses))

    def choose_target(self) -> str:
        """Return a random target of the records service."""
        return self.rng.choice(RECORDS_TARGETS)

    @contextmanager
    def reserve_any_vm(self) -> Iterator[str | None]:
        """Reserve a random VM that no other fault has reserved, or yield None."""
        free_vms = [name for name in self.deployment.vm_addresses if name not in self.reserved_vms]
        vm = self.rng.choice(free_vms) if free_vms else None
        with self.reserve_vms([vm] if vm else []):
            yield vm

    @contextmanager
    def reserve_vms(self, vms: Collection[str]) -> Iterator[list[str]]:
        """Reserve and yield those of the given VMs that no other fault has reserved."""
        free_vms = [vm for vm in vms if vm not in self.reserved_vms]
        self.reserved_vms.update(free_vms)
        try:
            yield free_vms
        finally:
            self.reserved_vms.difference_update(free_vms)

    async def sleep_random(self, min_s: float, max_s: float) -> None:
        """Sleep for a random time, but not past `until_s`."""
        max_until_s = max(trio.current_time(), self.until_s)
        until_s = trio.current_time() + self.rng.uniform(min_s, max_s)
        await trio.sleep_until(min(until_s, max_until_s))

    @asynccontextmanager
    async def inject_store_fault(self, name: str, value: float) -> AsyncIterator[None]:
        """Set a fault of the platform stand-in for the duration of the context."""
        self.active_store_faults[name] = value
        await self.controls.set_store_faults(**self.active_store_faults)
        yield
        self.active_store_faults.pop(name, None)
        await self.controls.set_store_faults(**self.active_store_faults)

    def kill_vm(self, vm: str) -> None:
        """Kill a VM without a graceful stop."""
        self.history.disrupted_vms.add(vm)
        self.offline_vms.add(vm)
        self.deployment.vms[vm].kill()

    async def restart_vm(self, vm: str) -> None:
        """Start a killed VM again; it stays marked offline until ready or timed out."""
        process = self.deployment.start_vm(vm)
        with trio.move_on_after(READY_TIMEOUT_S):
            while not any(event["event"] == "ready" for event in process.events()):
                await trio.sleep(0.2)
        self.offline_vms.discard(vm)
