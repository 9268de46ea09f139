"""Measure the cost of the request path: ``python -m wagtailbay_bench.path_cost``.

One line of key=value pairs for each answer size and variant. The product runs every check; the
bare forwarder runs none. The variants take turns in short rounds, and a figure is the median of
its rounds.
"""

import argparse
import sys
from functools import partial
from statistics import median

import trio

from wagtailbay.logs import format_line
from wagtailbay_bench.path_cost.caller import Callers, build_request, close_all, connect
from wagtailbay_bench.path_cost.const import (
    ANSWER_BYTES,
    CONNECTIONS,
    GOAL_RATIO,
    IDLE_CONNECTIONS,
    PACED_CONNECTIONS,
    PACED_PER_S,
    PACED_S,
    ROUND_S,
    ROUNDS,
    WARM_UP_S,
)
from wagtailbay_bench.path_cost.models import Cost, Variant
from wagtailbay_bench.path_cost.proc import processor_time_s, resident_bytes
from wagtailbay_bench.path_cost.scene import KEY, start_variants
from wagtailbay_bench.processes import ProcessGroup


async def measure_load(variant: Variant, cost: Cost, duration_s: float) -> None:
    """Measure processor time and rate of one round at full load."""
    callers = Callers(build_request(variant.path, KEY))
    connections = await connect(variant.addresses, CONNECTIONS)
    await callers.saturate(connections, WARM_UP_S)
    callers.answered = 0
    before_s = processor_time_s(variant.process_id) if variant.process_id else 0.0
    started_s = trio.current_time()
    await callers.saturate(connections, duration_s)
    elapsed_s = trio.current_time() - started_s
    if variant.process_id:
        used_s = processor_time_s(variant.process_id) - before_s
        cost.cpu_us.append(used_s / callers.answered * 1e6)
    cost.served_per_s.append(callers.answered / elapsed_s)
    cost.failed += callers.failed
    await close_all(connections)


async def measure_latency(variant: Variant, cost: Cost, duration_s: float) -> None:
    """Measure the latency of requests that do not wait for each other."""
    callers = Callers(build_request(variant.path, KEY))
    connections = await connect(variant.addresses, PACED_CONNECTIONS)
    await callers.pace(connections, PACED_PER_S, duration_s)
    cost.latencies_ms += callers.latencies_ms
    cost.failed += callers.failed
    await close_all(connections)


async def measure_connection_bytes(variant: Variant) -> float:
    """Measure the memory of an open connection that has carried one request."""
    if variant.process_id is None:
        return 0.0
    callers = Callers(build_request(variant.path, KEY))
    before = resident_bytes(variant.process_id)
    connections = await connect(variant.addresses, IDLE_CONNECTIONS)
    for connection in connections:
        await connection.call(callers.request)
    after = resident_bytes(variant.process_id)
    await close_all(connections)
    return (after - before) / IDLE_CONNECTIONS


async def measure_size(size: str, rounds: int) -> None:
    """Measure all variants with answers of one size and print a line for each."""
    with ProcessGroup() as group:
        chosen = await start_variants(group, ANSWER_BYTES[size])
        costs = {variant.name: Cost() for variant in chosen}
        for _ in range(rounds):
            for variant in chosen:
                await measure_load(variant, costs[variant.name], ROUND_S)
            for variant in chosen:
                await measure_latency(variant, costs[variant.name], PACED_S)
        for variant in chosen:
            connection_bytes = await measure_connection_bytes(variant)
            print_cost(size, variant.name, costs, connection_bytes)


def print_cost(size: str, name: str, costs: dict[str, Cost], connection_bytes: float) -> None:
    """Print the figures of one variant."""
    cost, direct = costs[name], costs["direct"]
    values: dict[str, object] = {"answer": size, "variant": name, "failed": cost.failed}
    values["served_per_s"] = round(median(cost.served_per_s))
    for label, part in (("p50", 0.5), ("p99", 0.99)):
        values[f"{label}_ms"] = round(cost.quantile_ms(part), 2)
        added_ms = cost.quantile_ms(part) - direct.quantile_ms(part)
        values[f"added_{label}_ms"] = round(added_ms, 2)
    if cost.cpu_us:
        cpu_us, bare = median(cost.cpu_us), costs["bare"].cpu_us
        values |= {"cpu_us": round(cpu_us), "cpu_us_low": round(min(cost.cpu_us))}
        values |= {"cpu_us_high": round(max(cost.cpu_us)), "per_core_per_s": round(1e6 / cpu_us)}
        values["connection_bytes"] = round(connection_bytes)
        # The rounds of a pair are neighbours in time, so other work on the machine counts alike.
        ratios = [own / other for own, other in zip(cost.cpu_us, bare, strict=True)]
        values["ratio"] = round(median(ratios), 2)
    if name == "product":
        values["goal_ratio"] = GOAL_RATIO
    print(format_line(values), flush=True)


async def measure_all(sizes: list[str], rounds: int) -> None:
    """Measure all sizes one after another."""
    for size in sizes:
        await measure_size(size, rounds)


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(prog="path_cost", description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--size", action="append", choices=list(ANSWER_BYTES))
    arguments = parser.parse_args()
    trio.run(partial(measure_all, arguments.size or list(ANSWER_BYTES), arguments.rounds))


if __name__ == "__main__":
    sys.exit(main())
