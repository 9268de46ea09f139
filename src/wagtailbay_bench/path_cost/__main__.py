"""Measure the cost of the request path: ``python -m wagtailbay_bench.path_cost``.

Prints one line of key=value pairs for each response size and variant. The product performs all of
its checks and the bare forwarder performs none. The variants alternate in short rounds. Rates and
CPU times are medians over the rounds.
"""

import argparse
import sys
from functools import partial
from statistics import median

import trio

from wagtailbay.logs import format_line
from wagtailbay_bench.path_cost.const import (
    GOAL_RATIO,
    IDLE_CONNECTIONS,
    PACED_CONNECTIONS,
    PACED_DURATION_S,
    PACED_RATE_PER_S,
    RESPONSE_BODY_BYTES,
    ROUND_COUNT,
    ROUND_DURATION_S,
    SATURATING_CONNECTIONS,
    WARM_UP_S,
)
from wagtailbay_bench.path_cost.load_generator import (
    LoadGenerator,
    build_request,
    close_connections,
    open_connections,
)
from wagtailbay_bench.path_cost.models import Variant, VariantCost
from wagtailbay_bench.path_cost.proc import cpu_time_s, resident_bytes
from wagtailbay_bench.path_cost.variants import KEY, start_variants
from wagtailbay_bench.processes import ProcessGroup


async def measure_saturated(variant: Variant, cost: VariantCost, duration_s: float) -> None:
    """Measure the CPU time per request and the request rate in one round at full load."""
    generator = LoadGenerator(build_request(variant.path, KEY))
    connections = await open_connections(variant.addresses, SATURATING_CONNECTIONS)
    await generator.saturate(connections, WARM_UP_S)
    generator.answered = 0
    initial_cpu_s = cpu_time_s(variant.process_id) if variant.process_id else 0.0
    started_s = trio.current_time()
    await generator.saturate(connections, duration_s)
    elapsed_s = trio.current_time() - started_s
    if variant.process_id:
        cpu_s = cpu_time_s(variant.process_id) - initial_cpu_s
        cost.cpu_us.append(cpu_s / generator.answered * 1e6)
    cost.served_per_s.append(generator.answered / elapsed_s)
    cost.failed += generator.failed
    await close_connections(connections)


async def measure_latency(variant: Variant, cost: VariantCost, duration_s: float) -> None:
    """Measure the latency of requests sent at a constant low rate."""
    generator = LoadGenerator(build_request(variant.path, KEY))
    connections = await open_connections(variant.addresses, PACED_CONNECTIONS)
    await generator.send_paced(connections, PACED_RATE_PER_S, duration_s)
    cost.latencies_ms += generator.latencies_ms
    cost.failed += generator.failed
    await close_connections(connections)


async def measure_connection_bytes(variant: Variant) -> float:
    """Measure the resident memory per open connection after one request on each."""
    if variant.process_id is None:
        return 0.0
    generator = LoadGenerator(build_request(variant.path, KEY))
    initial_bytes = resident_bytes(variant.process_id)
    connections = await open_connections(variant.addresses, IDLE_CONNECTIONS)
    for connection in connections:
        await connection.call(generator.request)
    final_bytes = resident_bytes(variant.process_id)
    await close_connections(connections)
    return (final_bytes - initial_bytes) / IDLE_CONNECTIONS


async def measure_size(size: str, rounds: int) -> None:
    """Measure all variants with one response size and print a line for each."""
    with ProcessGroup() as group:
        variants = await start_variants(group, RESPONSE_BODY_BYTES[size])
        costs = {variant.name: VariantCost() for variant in variants}
        for _ in range(rounds):
            for variant in variants:
                await measure_saturated(variant, costs[variant.name], ROUND_DURATION_S)
            for variant in variants:
                await measure_latency(variant, costs[variant.name], PACED_DURATION_S)
        for variant in variants:
            connection_bytes = await measure_connection_bytes(variant)
            print_cost(size, variant.name, costs, connection_bytes)


def print_cost(
    size: str, name: str, costs: dict[str, VariantCost], connection_bytes: float
) -> None:
    """Print the figures of one variant."""
    cost, direct = costs[name], costs["direct"]
    values: dict[str, object] = {"answer": size, "variant": name, "failed": cost.failed}
    values["served_per_s"] = round(median(cost.served_per_s))
    for label, quantile in (("p50", 0.5), ("p99", 0.99)):
        values[f"{label}_ms"] = round(cost.latency_quantile_ms(quantile), 2)
        added_ms = cost.latency_quantile_ms(quantile) - direct.latency_quantile_ms(quantile)
        values[f"added_{label}_ms"] = round(added_ms, 2)
    if cost.cpu_us:
        cpu_us, bare = median(cost.cpu_us), costs["bare"].cpu_us
        values |= {"cpu_us": round(cpu_us), "cpu_us_low": round(min(cost.cpu_us))}
        values |= {"cpu_us_high": round(max(cost.cpu_us)), "per_core_per_s": round(1e6 / cpu_us)}
        values["connection_bytes"] = round(connection_bytes)
        # Paired rounds run close in time, so other load on the machine affects both alike.
        ratios = [
            variant_us / bare_us for variant_us, bare_us in zip(cost.cpu_us, bare, strict=True)
        ]
        values["ratio"] = round(median(ratios), 2)
    if name == "product":
        values["goal_ratio"] = GOAL_RATIO
    print(format_line(values), flush=True)


async def measure_all(sizes: list[str], rounds: int) -> None:
    """Measure all response sizes sequentially."""
    for size in sizes:
        await measure_size(size, rounds)


def main() -> None:
    """Parse the arguments and run the measurement."""
    parser = argparse.ArgumentParser(prog="path_cost", description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUND_COUNT)
    parser.add_argument("--size", action="append", choices=list(RESPONSE_BODY_BYTES))
    arguments = parser.parse_args()
    trio.run(partial(measure_all, arguments.size or list(RESPONSE_BODY_BYTES), arguments.rounds))


if __name__ == "__main__":
    sys.exit(main())
