"""Print where the entry program spends CPU time, based on samples of its stack."""

import argparse
import json
import os
import signal
import tempfile
from collections import Counter
from collections.abc import Mapping
from functools import partial
from pathlib import Path

import trio

from wagtailbay_bench.path_cost.const import RESPONSE_BODY_BYTES, SATURATING_CONNECTIONS, WARM_UP_S
from wagtailbay_bench.path_cost.load_generator import LoadGenerator, build_request, open_connections
from wagtailbay_bench.path_cost.proc import cpu_time_s
from wagtailbay_bench.path_cost.profiled_entry import PROFILE_PATH_VARIABLE
from wagtailbay_bench.path_cost.variants import KEY, PROFILED_MODULE, SERVICE, start_deployment
from wagtailbay_bench.processes import ProcessGroup

WRITE_TIMEOUT_S = 5.0
PROFILE_DURATION_S = 5.0


async def record_profile(path: Path, body_bytes: int) -> float:
    """Record a profile of an entry VM at full load.

    Returns:
        CPU time per request in microseconds, including the cost of sampling.
    """
    os.environ[PROFILE_PATH_VARIABLE] = str(path)
    with ProcessGroup() as group:
        deployment = await start_deployment(group, body_bytes, PROFILED_MODULE)
        process = deployment.vms["vm-1"].process
        generator = LoadGenerator(build_request(f"/{SERVICE}/item/1", KEY))
        connections = await open_connections(
            (deployment.vm_addresses["vm-1"],), SATURATING_CONNECTIONS
        )
        await generator.saturate(connections, WARM_UP_S)
        process.send_signal(signal.SIGUSR1)
        generator.answered = 0
        initial_cpu_s = cpu_time_s(process.pid)
        await generator.saturate(connections, PROFILE_DURATION_S)
        cpu_s = cpu_time_s(process.pid) - initial_cpu_s
        process.send_signal(signal.SIGUSR2)
        with trio.fail_after(WRITE_TIMEOUT_S):
            while not path.exists():
                await trio.sleep(0.1)
        return cpu_s / generator.answered * 1e6


def print_counts(title: str, counts: Mapping[str, int], total: int, lines: int) -> None:
    """Print the functions with the highest counts, in % of all samples."""
    print(title)
    for name, count in sorted(counts.items(), key=lambda item: -item[1])[:lines]:
        print(f"{100 * count / total:6.2f} %  {name}")


def count_by_package(running_counts: Mapping[str, int]) -> Counter:
    """Sum the counts of the functions in each package."""
    packages: Counter = Counter()
    for name, count in running_counts.items():
        folder = name.partition(":")[0].rpartition("/")[0]
        packages[folder.removeprefix("site-packages/") or "built in"] += count
    return packages


def main() -> None:
    """Profile an entry VM and print garbage collector times and function counts."""
    parser = argparse.ArgumentParser(prog="profile", description=__doc__)
    parser.add_argument("--size", choices=list(RESPONSE_BODY_BYTES), default="small")
    parser.add_argument("--lines", type=int, default=40)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "profile.json"
        cpu_us = trio.run(partial(record_profile, path, RESPONSE_BODY_BYTES[arguments.size]))
        profile = json.loads(path.read_text())
    total = sum(profile["on_top"].values())
    print(f"size={arguments.size} samples={total} cpu_us_with_sampling={cpu_us:.0f}")
    for generation, (runs, sum_ms, max_ms) in profile["garbage"].items():
        print(f"garbage generation={generation} runs={runs} ms={sum_ms:.1f} most_ms={max_ms:.1f}")
    packages = count_by_package(profile["on_top"])
    print_counts("running functions, by package", packages, total, arguments.lines)
    print_counts("running functions", profile["on_top"], total, arguments.lines)
    print_counts("functions on the stack", profile["in_stack"], total, 90)


if __name__ == "__main__":
    main()
