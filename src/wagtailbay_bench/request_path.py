"""Measure in one process how a frozen target or a crashing request affects other requests."""

import sys
import time

import trio

from wagtailbay_bench.rig import Rig, RigVm, get, replicate_facts
from wagtailbay_standins.target import Behaviour

REQUESTS = 40
CONCURRENT_REQUESTS = 24
SERVICE_TIME_MS = 150.0


async def measure_request(vm: RigVm, data: bytes, samples: list[tuple[float, int]]) -> None:
    """Send a request and record its duration in ms and its status, or 0 without a response."""
    started_s = time.perf_counter()
    answer = await vm.session(data, wait_s=20.0)
    samples.append(((time.perf_counter() - started_s) * 1000, int(answer[9:12] or 0)))


def print_summary(name: str, samples: list[tuple[float, int]]) -> None:
    """Print the number of successes and the latency percentiles."""
    latencies_ms = sorted(latency_ms for latency_ms, _ in samples)
    successes = sum(status == 200 for _, status in samples)
    p50, p80 = latencies_ms[len(latencies_ms) // 2], latencies_ms[len(latencies_ms) * 8 // 10]
    print(
        f"{name}: {successes} of {len(latencies_ms)} good,"
        f" p50 {p50:.0f} p80 {p80:.0f} max {latencies_ms[-1]:.0f} ms"
    )


async def measure_frozen_target(idle_timeout_ms: int) -> None:
    """Send requests one by one while one of four targets accepts requests but never responds."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery, idle_timeout_ms=idle_timeout_ms, deadline_ms=2_000)
        await rig.add_target("frozen", Behaviour(frozen_answers=True))
        for number in range(3):
            await rig.add_target(f"t{number}")
        vm = await rig.add_vm()
        vm.forwarder.retry_budget.enabled = False
        samples: list[tuple[float, int]] = []
        for number in range(REQUESTS):
            await measure_request(vm, get(f"/records/{number}"), samples)
        print_summary(f"frozen target, idle timeout {idle_timeout_ms} ms", samples)
        nursery.cancel_scope.cancel()


async def measure_crash_impact(vm_count: int) -> None:
    """Send slow requests to six targets, and a request that crashes each target that runs it."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery, idle_timeout_ms=5_000, deadline_ms=10_000)
        for number in range(6):
            behaviour = Behaviour(service_time_ms=SERVICE_TIME_MS, connection_cost_ms=0)
            await rig.add_target(f"t{number}", behaviour)
        entry_vms = [await rig.add_vm(f"vm-{number}") for number in range(vm_count)]
        nursery.start_soon(replicate_facts, entry_vms)
        samples: list[tuple[float, int]] = []
        async with trio.open_nursery() as calls:
            for number in range(CONCURRENT_REQUESTS):
                calls.start_soon(
                    measure_request,
                    entry_vms[number % vm_count],
                    get(f"/records/{number}"),
                    samples,
                )
            await trio.sleep(0.05)
            calls.start_soon(measure_request, entry_vms[0], get("/records/crash"), [])
        print_summary(f"neighbours of a crashing request, {vm_count} VMs", samples)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run all measurements."""
    for idle_timeout_ms in (100, 1_000, 2_000):
        trio.run(measure_frozen_target, idle_timeout_ms)
    for vm_count in (1, 2, 3):
        trio.run(measure_crash_impact, vm_count)


if __name__ == "__main__":
    sys.exit(main())
