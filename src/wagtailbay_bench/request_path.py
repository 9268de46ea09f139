"""Measure what a frozen target and a crashing request cost other callers, in one process."""

import sys
import time

import trio

from wagtailbay_bench.rig import Rig, RigVm, get, spread_facts
from wagtailbay_standins.target import Behaviour

REQUESTS = 40
NEIGHBOURS = 24
SERVICE_TIME_MS = 150.0


async def timed(vm: RigVm, data: bytes, into: list[tuple[float, int]]) -> None:
    """Send a request and note its time in ms and its status, 0 for none."""
    started_s = time.perf_counter()
    answer = await vm.session(data, wait_s=20.0)
    into.append(((time.perf_counter() - started_s) * 1000, int(answer[9:12] or 0)))


def show(name: str, times: list[tuple[float, int]]) -> None:
    """Print one line of figures."""
    ms = sorted(at_ms for at_ms, _ in times)
    good = sum(status == 200 for _, status in times)
    p50, p80 = ms[len(ms) // 2], ms[len(ms) * 8 // 10]
    print(f"{name}: {good} of {len(ms)} good, p50 {p50:.0f} p80 {p80:.0f} max {ms[-1]:.0f} ms")


async def frozen_target(idle_timeout_ms: int) -> None:
    """Send requests in turn while one of four targets takes requests and answers none."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery, idle_timeout_ms=idle_timeout_ms, deadline_ms=2_000)
        await rig.add_target("frozen", Behaviour(frozen_answers=True))
        for number in range(3):
            await rig.add_target(f"t{number}")
        vm = await rig.add_vm()
        vm.forwarder.retry_budget.enabled = False
        times: list[tuple[float, int]] = []
        for number in range(REQUESTS):
            await timed(vm, get(f"/records/{number}"), times)
        show(f"frozen target, idle timeout {idle_timeout_ms} ms", times)
        nursery.cancel_scope.cancel()


async def crash_among_neighbours(vms: int) -> None:
    """Send slow requests to six targets, and one that crashes each target that runs it."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery, idle_timeout_ms=5_000, deadline_ms=10_000)
        for number in range(6):
            behaviour = Behaviour(service_time_ms=SERVICE_TIME_MS, connection_cost_ms=0)
            await rig.add_target(f"t{number}", behaviour)
        fleet = [await rig.add_vm(f"vm-{number}") for number in range(vms)]
        nursery.start_soon(spread_facts, fleet)
        times: list[tuple[float, int]] = []
        async with trio.open_nursery() as calls:
            for number in range(NEIGHBOURS):
                calls.start_soon(timed, fleet[number % vms], get(f"/records/{number}"), times)
            await trio.sleep(0.05)
            calls.start_soon(timed, fleet[0], get("/records/crash"), [])
        show(f"neighbours of a crashing request, {vms} VMs", times)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run all measurements."""
    for idle_timeout_ms in (100, 1_000, 2_000):
        trio.run(frozen_target, idle_timeout_ms)
    for vms in (1, 2, 3):
        trio.run(crash_among_neighbours, vms)


if __name__ == "__main__":
    sys.exit(main())
