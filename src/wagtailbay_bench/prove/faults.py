"""Bring about failures of a running deployment."""

import random
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio
from attrs import define, field

from wagtailbay.access import hash_key
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.prove.const import LONGEST_OUTAGE_S
from wagtailbay_bench.prove.models import Drained, History, Withdrawal
from wagtailbay_bench.prove.scene import RECORDS_TARGETS, SPARE_KEYS


@define
class FaultContext:
    """Hold what faults act on."""

    deployment: Deployment
    controls: Controls
    history: History
    random: random.Random
    disturbed: set[str] = field(factory=set)

    def any_vm(self) -> str:
        """Return a VM; only requests are sent to it."""
        return self.random.choice(list(self.deployment.vm_addresses))

    @contextmanager
    def disturbed_vm(self) -> Iterator[str | None]:
        """Reserve a VM that no other fault stops now; None if there is none."""
        free = [name for name in self.deployment.vm_addresses if name not in self.disturbed]
        vm = self.random.choice(free) if free else None
        if vm is None:
            yield None
            return
        self.disturbed.add(vm)
        try:
            yield vm
        finally:
            self.disturbed.discard(vm)

    def any_target(self) -> str:
        """Return a target."""
        return self.random.choice(RECORDS_TARGETS)


async def kill_vm(context: FaultContext) -> None:
    """End a VM at once and start it again under the same address."""
    with context.disturbed_vm() as vm:
        if vm is None:
            return
        context.history.killed_vms.add(vm)
        context.deployment.vms[vm].kill()
        await trio.sleep(context.random.uniform(0.1, 1.5))
        context.deployment.start_vm(vm)


async def stop_vm(context: FaultContext) -> None:
    """Stop a VM gracefully and start it again once it has ended."""
    with context.disturbed_vm() as vm:
        if vm is None:
            return
        process = context.deployment.vms[vm]
        process.terminate()
        while process.process.poll() is None:
            await trio.sleep(0.05)
        context.deployment.start_vm(vm)


async def freeze_vm(context: FaultContext) -> None:
    """Pause a VM for up to 7 s, longer than every lease and freshness bound."""
    with context.disturbed_vm() as vm:
        if vm is None:
            return
        context.history.killed_vms.add(vm)
        process = context.deployment.vms[vm]
        process.freeze()
        await trio.sleep(context.random.uniform(0.5, 7.0))
        process.thaw()


async def store_outage(context: FaultContext) -> None:
    """Stop the store from answering for a while."""
    await context.controls.set_store_faults(outage=True)
    await trio.sleep(context.random.uniform(0.5, LONGEST_OUTAGE_S))
    await context.controls.set_store_faults()


async def slow_store(context: FaultContext) -> None:
    """Delay every answer of the store."""
    await context.controls.set_store_faults(delay_ms=context.random.choice((100, 400, 1500)))
    await trio.sleep(context.random.uniform(0.5, LONGEST_OUTAGE_S))
    await context.controls.set_store_faults()


async def lose_answers(context: FaultContext) -> None:
    """Lose the answers to the next writes after they took effect."""
    await context.controls.set_store_faults(lose_answers=context.random.randrange(1, 8))


async def crash_target(context: FaultContext) -> None:
    """Send a request that ends the target which runs it."""
    vm = context.any_vm()
    headers = (("Authorization", f"Bearer {SPARE_KEYS['small']}"),)
    request = Request("GET", f"/records/crash/{context.random.random()}", headers)
    await fetch(context.deployment.vm_addresses[vm], request, 3_000)


async def slow_target(context: FaultContext) -> None:
    """Make a target slow for a while."""
    target = context.any_target()
    await context.controls.set_behaviour(target, slow_factor=50.0)
    await trio.sleep(context.random.uniform(0.5, 3.0))
    await context.controls.set_behaviour(target, slow_factor=1.0)


async def freeze_target(context: FaultContext) -> None:
    """Let a target take requests and answer none for a while."""
    target = context.any_target()
    await context.controls.set_behaviour(target, frozen_answers=True)
    await trio.sleep(context.random.uniform(0.5, 2.0))
    await context.controls.set_behaviour(target, frozen_answers=False)


async def truncate_answers(context: FaultContext) -> None:
    """Let a target break off half of its answers for a while."""
    target = context.any_target()
    await context.controls.set_behaviour(target, truncate_ppm=500_000)
    await trio.sleep(context.random.uniform(0.5, 2.0))
    await context.controls.set_behaviour(target, truncate_ppm=0)


async def lie_about_load(context: FaultContext) -> None:
    """Let a busy target report that it is idle."""
    target = context.any_target()
    await context.controls.set_behaviour(target, reported_load=0.0, slots=1)
    await trio.sleep(context.random.uniform(0.5, 3.0))
    await context.controls.set_behaviour(target, reported_load=None, slots=4)


async def withdraw_key(context: FaultContext) -> None:
    """Withdraw one of the spare keys while its callers go on."""
    name = context.random.choice(list(SPARE_KEYS))
    value = {"workspace": name, "withdrawn": True}
    written = await context.controls.store.put(f"keys/{hash_key(SPARE_KEYS[name])}", value, None)
    if written.is_ok():
        context.history.withdrawals.append(Withdrawal(f"{name}-2", time.time()))


async def drain_target(context: FaultContext) -> None:
    """Drain a target by its document."""
    target = context.any_target()
    drain = {"kind": "target", "name": target, "start_unix_s": 0, "deadline_unix_s": time.time()}
    stored = (await context.controls.store.get("documents/records")).unwrap_or(None)
    if stored is None:
        return
    drains = [*stored.value.get("drains", []), drain]
    if len({item["name"] for item in drains}) > 3:
        return
    value = stored.value | {"drains": drains}
    written = await context.controls.store.put("documents/records", value, stored.version)
    if written.is_ok():
        context.history.drained.append(Drained(target, time.time()))
        context.history.in_force.append((time.time(), written.ok_value))


async def race_operators(context: FaultContext) -> None:
    """Let two operators change the same document at the same time."""
    accepted: list[int] = []

    async def change(owner: str) -> None:
        written = await context.controls.change_document("records", owner=owner)
        if written.is_ok():
            accepted.append(written.ok_value)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change, "team-a")
        nursery.start_soon(change, "team-b")
    context.history.in_force.extend((time.time(), version) for version in accepted)


FAULTS: dict[str, Callable[[FaultContext], Awaitable[None]]] = {
    "kill-vm": kill_vm,
    "stop-vm": stop_vm,
    "freeze-vm": freeze_vm,
    "store-outage": store_outage,
    "slow-store": slow_store,
    "lose-answers": lose_answers,
    "crash-target": crash_target,
    "slow-target": slow_target,
    "freeze-target": freeze_target,
    "truncate-answers": truncate_answers,
    "lie-about-load": lie_about_load,
    "withdraw-key": withdraw_key,
    "drain-target": drain_target,
    "race-operators": race_operators,
}
