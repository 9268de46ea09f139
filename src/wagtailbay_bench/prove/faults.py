"""Bring about failures of a running deployment."""

from collections.abc import Awaitable, Callable

import trio

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.prove.const import LONGEST_OUTAGE_S
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.network_faults import NETWORK_FAULTS
from wagtailbay_bench.prove.operator_faults import OPERATOR_FAULTS
from wagtailbay_bench.prove.scene import SPARE_KEYS


async def kill_vm(context: FaultContext) -> None:
    """End a VM at once and start it again under the same address."""
    with context.disturbed_vm() as vm:
        if vm is None:
            return
        context.kill(vm)
        await trio.sleep(context.random.uniform(0.1, 1.5))
        await context.restart(vm)


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
        process.suspend()
        context.frozen.add(vm)
        await trio.sleep(context.random.uniform(0.5, 7.0))
        process.resume()
        context.frozen.discard(vm)


async def store_outage(context: FaultContext) -> None:
    """Stop the store from answering for a while."""
    async with context.store_fault("outage", True):
        await trio.sleep(context.random.uniform(0.5, LONGEST_OUTAGE_S))


async def slow_store(context: FaultContext) -> None:
    """Delay every answer of the store."""
    async with context.store_fault("delay_ms", context.random.choice((100, 400, 1500))):
        await trio.sleep(context.random.uniform(0.5, LONGEST_OUTAGE_S))


async def lose_answers(context: FaultContext) -> None:
    """Lose the answers to the next writes after they took effect."""
    lost = context.random.randrange(1, 8)
    await context.controls.set_store_faults(**context.store_faults, lose_answers=lost)


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
    **NETWORK_FAULTS,
    **OPERATOR_FAULTS,
}
