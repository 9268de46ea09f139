"""Measure the CPU time and memory of idle entry processes from ``/proc``; see docs/CAPACITY.md.

``python -m wagtailbay_bench.rest [--vms N] [--seconds S] [--without-targets]``
"""

import argparse
import os
from collections.abc import Mapping
from pathlib import Path

import trio
from attrs import frozen

from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.measure.const import PROBE_COST_MS
from wagtailbay_bench.measure.examples import load_example
from wagtailbay_bench.processes import ProcessGroup

# Other processes also use loopback, so the minimum of several windows is reported.
TRAFFIC_WINDOW_S = 2.5
# Covers peer discovery, the transfer of certificates and first replicas, and cache warm-up.
WARM_UP_S = 8.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@frozen
class ProcessUsage:
    """CPU time and memory that a process has used so far.

    Attributes:
        loop_s: CPU time of the first thread, which runs the event loop.
        other_s: CPU time of all other threads.
    """

    loop_s: float
    other_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process; CPU times have the resolution of the kernel's clock tick."""
    folder = Path(f"/proc/{pid}")
    total_s = _parse_cpu_s((folder / "stat").read_text())
    loop_s = _parse_cpu_s((folder / f"task/{pid}/stat").read_text())
    resident = int((folder / "statm").read_text().split()[1]) * PAGE_BYTES
    return ProcessUsage(loop_s, total_s - loop_s, resident)


def _parse_cpu_s(stat: str) -> float:
    # The process name in parentheses may contain spaces; fields 14 and 15 are user and system time.
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_loopback_bytes() -> int:
    """Return the number of bytes that all processes on this machine have sent over loopback."""
    lines = Path("/proc/net/dev").read_text().splitlines()
    loopback = next(line for line in lines if line.strip().startswith("lo:"))
    return int(loopback.partition(":")[2].split()[8])


async def measure(vms: int, seconds: float, with_targets: bool) -> None:
    """Start the Acervo example without traffic and print the usage of its entry processes."""
    example = load_example("acervo", vms)
    documents = example.documents if with_targets else []
    keys = {workspace: f"key-{workspace}" for workspace in example.workspaces}
    with ProcessGroup() as group:
        behaviour = {"probe_cost_ms": PROBE_COST_MS}
        deployment = Deployment(group, documents, example.fleet, keys, example.vm_zones, behaviour)
        await deployment.start()
        await trio.sleep(WARM_UP_S)
        pids = {vm: process.process.pid for vm, process in deployment.vms.items()}
        before = {vm: read_usage(pid) for vm, pid in pids.items()}
        started_s = trio.current_time()
        bytes_per_s = await min_loopback_bytes_per_s(seconds)
        after = {vm: read_usage(pid) for vm, pid in pids.items()}
        elapsed_s = trio.current_time() - started_s
    print_report(before, after, elapsed_s, bytes_per_s, deployment)


async def min_loopback_bytes_per_s(seconds: float) -> float:
    """Return the minimum loopback traffic of all windows within a duration."""
    rates = []
    for _ in range(max(1, round(seconds / TRAFFIC_WINDOW_S))):
        before, started_s = read_loopback_bytes(), trio.current_time()
        await trio.sleep(TRAFFIC_WINDOW_S)
        rates.append((read_loopback_bytes() - before) / (trio.current_time() - started_s))
    return min(rates)


def print_report(
    before: Mapping[str, ProcessUsage],
    after: Mapping[str, ProcessUsage],
    elapsed_s: float,
    loopback_bytes_per_s: float,
    deployment: Deployment,
) -> None:
    """Print a line for each entry process and a summary line."""
    core_percents = []
    for vm, start in before.items():
        loop_pct = (after[vm].loop_s - start.loop_s) / elapsed_s * 100
        other_pct = (after[vm].other_s - start.other_s) / elapsed_s * 100
        core_percents.append(loop_pct + other_pct)
        print(
            f"rest vm={vm} core_pct={core_percents[-1]:.2f} loop_pct={loop_pct:.2f}"
            f" threads_pct={other_pct:.2f} resident_mb={after[vm].resident_bytes / 1e6:.1f}"
        )
    # Each byte on loopback is counted once, as sent by one process and received by another.
    print(
        f"rest vms={len(core_percents)} targets={len(deployment.target_addresses)}"
        f" core_pct_least={min(core_percents):.2f}"
        f" core_pct_mean={sum(core_percents) / len(core_percents):.2f}"
        f" core_pct_most={max(core_percents):.2f} loopback_bytes_per_s={loopback_bytes_per_s:.0f}"
    )


def main() -> None:
    """Parse the arguments and run the measurement."""
    parser = argparse.ArgumentParser(prog="wagtailbay_bench.rest", description=__doc__)
    parser.add_argument(
        "--vms", type=int, default=None, help="start only this many VMs of the example"
    )
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the measurement")
    parser.add_argument(
        "--without-targets", action="store_true", help="start without services and health probes"
    )
    arguments = parser.parse_args()
    trio.run(measure, arguments.vms, arguments.seconds, not arguments.without_targets)


if __name__ == "__main__":
    main()
