"""Hold what the faults of a running deployment act on."""

import random
from collections.abc import AsyncIterator, Collection, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio
from attrs import define, field

from wagtailbay_bench.certificates import CertificateFolder
from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.network import Network
from wagtailbay_bench.prove.const import READY_WITHIN_S
from wagtailbay_bench.prove.models import History
from wagtailbay_bench.prove.scene import RECORDS_TARGETS


@define
class FaultContext:
    """Hold what faults act on.

    Attributes:
        until_s: Faults end by this time of the trio clock.
        disturbed: VMs that a fault stops or replaces now.
        silent: VMs that pass nothing on to others now.
        frozen: VMs that are paused now.
        store_faults: The faults of the platform stand-in that hold now.
        withdrawn: Workspaces whose spare key was withdrawn.
    """

    deployment: Deployment
    network: Network
    controls: Controls
    history: History
    random: random.Random
    certificates: CertificateFolder | None
    until_s: float
    disturbed: set[str] = field(factory=set)
    silent: set[str] = field(factory=set)
    frozen: set[str] = field(factory=set)
    store_faults: dict[str, float] = field(factory=dict)
    withdrawn: set[str] = field(factory=set)

    def any_vm(self) -> str:
        """Return a VM; only requests are sent to it."""
        return self.random.choice(list(self.deployment.vm_addresses))

    def any_target(self) -> str:
        """Return a target."""
        return self.random.choice(RECORDS_TARGETS)

    @contextmanager
    def disturbed_vm(self) -> Iterator[str | None]:
        """Reserve a VM that no other fault stops now; None if there is none."""
        free = [name for name in self.deployment.vm_addresses if name not in self.disturbed]
        vm = self.random.choice(free) if free else None
        with self.reserved([vm] if vm else []):
            yield vm

    @contextmanager
    def reserved(self, vms: Collection[str]) -> Iterator[list[str]]:
        """Reserve those of some VMs that no other fault stops now."""
        free = [vm for vm in vms if vm not in self.disturbed]
        self.disturbed.update(free)
        try:
            yield free
        finally:
            self.disturbed.difference_update(free)

    async def hold(self, shortest_s: float, longest_s: float) -> None:
        """Let a fault last for a random time."""
        latest_s = max(trio.current_time(), self.until_s)
        until_s = trio.current_time() + self.random.uniform(shortest_s, longest_s)
        await trio.sleep_until(min(until_s, latest_s))

    @asynccontextmanager
    async def store_fault(self, name: str, value: float) -> AsyncIterator[None]:
        """Keep a fault of the platform stand-in for as long as the context lasts."""
        self.store_faults[name] = value
        await self.controls.set_store_faults(**self.store_faults)
        yield
        self.store_faults.pop(name, None)
        await self.controls.set_store_faults(**self.store_faults)

    def kill(self, vm: str) -> None:
        """End a VM at once."""
        self.history.killed_vms.add(vm)
        self.silent.add(vm)
        self.deployment.vms[vm].kill()

    async def restart(self, vm: str) -> None:
        """Start a killed VM again; it passes nothing on until it is ready."""
        process = self.deployment.start_vm(vm)
        with trio.move_on_after(READY_WITHIN_S):
            while not any(event["event"] == "ready" for event in process.events()):
                await trio.sleep(0.2)
        self.silent.discard(vm)
