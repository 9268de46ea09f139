"""Process, store and target faults, and the table of all faults by name."""

from collections.abc import Awaitable, Callable

import trio

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.prove.const import MAX_STORE_FAULT_S
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.network_faults import NETWORK_FAULTS
from wagtailbay_bench.prove.operator_faults import OPERATOR_FAULTS
from wagtailbay_bench.prove.scenario import DEFAULT_BEHAVIOUR, SECONDARY_KEYS


async def kill_vm(context: FaultContext) -> None:
    """Kill a VM and start it again under the same address."""
    with context.reserve_any_vm() as vm:
        if vm is None:
            return
        context.kill_vm(vm)
        await trio.sleep(context.rng.uniform(0.1, 1.5))
        await context.restart_vm(vm)


async def stop_vm(context: FaultContext) -> None:
    """Stop a VM gracefully and start it again once its process has exited."""
    with context.reserve_any_vm() as vm:
        if vm is None:
            return
        process = context.deployment.vms[vm]
        process.terminate()
        while process.process.poll() is None:
            await trio.sleep(0.05)
        context.deployment.start_vm(vm)


async def freeze_vm(context: FaultContext) -> None:
    """Pause a VM's process for up to 7 s, longer than every lease and freshness bound."""
    with context.reserve_any_vm() as vm:
        if vm is None:
            return
        context.history.disrupted_vms.add(vm)
        process = context.deployment.vms[vm]
        process.suspend()
        context.frozen_vms.add(vm)
        await trio.sleep(context.rng.uniform(0.5, 7.0))
        process.resume()
        context.frozen_vms.discard(vm)


async def store_outage(context: FaultContext) -> None:
    """Make the store unavailable for a random time."""
    async with context.inject_store_fault("outage", True):
        await trio.sleep(context.rng.uniform(0.5, MAX_STORE_FAULT_S))


async def slow_store(context: FaultContext) -> None:
    """Delay every response of the store for a random time."""
    async with context.inject_store_fault("delay_ms", context.rng.choice((100, 400, 1500))):
        await trio.sleep(context.rng.uniform(0.5, MAX_STORE_FAULT_S))


async def lose_answers(context: FaultContext) -> None:
    """Drop the responses to the next 1 to 7 store writes after they took effect."""
    lost = context.rng.randrange(1, 8)
    await context.controls.set_store_faults(**context.active_store_faults, lose_answers=lost)


async def crash_target(context: FaultContext) -> None:
    """Send a request, on a path used only once, that crashes the target running it."""
    vm = context.choose_vm()
    headers = (("Authorization", f"Bearer {SECONDARY_KEYS['small']}"),)
    request = Request("GET", f"/records/crash/{context.rng.random()}", headers)
    await fetch(context.deployment.vm_addresses[vm], request, 3_000)


async def slow_target(context: FaultContext) -> None:
    """Make a target 50 times slower for a random time."""
    target = context.choose_target()
    await context.controls.set_behaviour(target, slow_factor=50.0)
    await trio.sleep(context.rng.uniform(0.5, 3.0))
    await context.controls.set_behaviour(target, slow_factor=1.0)


async def freeze_target(context: FaultContext) -> None:
    """Make a target accept requests without responding for a random time."""
    target = context.choose_target()
    await context.controls.set_behaviour(target, frozen_answers=True)
    await trio.sleep(context.rng.uniform(0.5, 2.0))
    await context.controls.set_behaviour(target, frozen_answers=False)


async def truncate_answers(context: FaultContext) -> None:
    """Make a target truncate half of its responses for a random time."""
    target = context.choose_target()
    await context.controls.set_behaviour(target, truncate_ppm=500_000)
    await trio.sleep(context.rng.uniform(0.5, 2.0))
    await context.controls.set_behaviour(target, truncate_ppm=0)


async def lie_about_load(context: FaultContext) -> None:
    """Make a target with a single slot report zero load for a random time."""
    target = context.choose_target()
    await context.controls.set_behaviour(target, reported_load=0.0, slots=1)
    await trio.sleep(context.rng.uniform(0.5, 3.0))
    await context.controls.set_behaviour(target, reported_load=None, slots=4)


async def repeat_refusals(context: FaultContext) -> None:
    """Make a target with a single slot write each refusal twice for a random time."""
    target = context.choose_target()
    await context.controls.set_behaviour(target, repeat_refusal_after_ms=30.0, slots=1, queue=0)
    await trio.sleep(context.rng.uniform(0.5, 3.0))
    await context.controls.set_behaviour(target, repeat_refusal_after_ms=None, **DEFAULT_BEHAVIOUR)


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
# The seeds of histories draw from the faults above only.
EXTRA_FAULTS: dict[str, Callable[[FaultContext], Awaitable[None]]] = {
    "repeat-refusals": repeat_refusals,
}
ALL_FAULTS = FAULTS | EXTRA_FAULTS
