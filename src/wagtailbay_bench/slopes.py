"""Measure how CPU time, memory and message sizes grow with state size; see docs/CAPACITY.md."""

import gc
import json
import random
import sys
import time
from collections.abc import Callable, Sequence
from ipaddress import IPv4Network
from itertools import pairwise

from wagtailbay.allotment import Ledger, PlanInputs, VmIncarnation, plan_ledger
from wagtailbay.allotment.wire import encode_ledger
from wagtailbay.config import AvailabilityZone, ClientBlock, FleetDocument
from wagtailbay.limits import BudgetLimit
from wagtailbay.locate import VmRanker
from wagtailbay.locate.blocks import BlockMap, BlockMapBuilder
from wagtailbay.membership import (
    Exchanger,
    FactTable,
    IsolationCheck,
    Member,
    Quorum,
    Roster,
    VmIdentity,
    VmState,
)
from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.membership.wire import decode_exchange, encode_exchange
from wagtailbay.replica import Freshness, Replica, StoreReader

PAGE_BYTES = 4096
LOOKUPS = 100_000
EXCHANGES = 400
RANKINGS = 1_730
# 450,000 look-ups per second on 520 VMs.
LOOKUPS_PER_S = 865
# Budgets of one service at the planned size: its workspaces, regions and links.
BUDGET_COUNT = 16


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line by least squares and return its slope, intercept and R squared."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    syy = sum((y - mean_y) ** 2 for _, y in points)
    slope = sxy / sxx
    return slope, mean_y - slope * mean_x, (sxy * sxy) / (sxx * syy) if syy else 1.0


def random_blocks(count: int, zones: int, seed: int) -> list[ClientBlock]:
    """Return distinct blocks of 256 addresses, each assigned to a random zone."""
    rng = random.Random(seed)
    chosen = rng.sample(range(1 << 24), count)
    return [
        ClientBlock(str(IPv4Network((number << 8, 24))), f"zone-{rng.randrange(zones)}")
        for number in chosen
    ]


def build_block_map(blocks: Sequence[ClientBlock]) -> tuple[BlockMap, float, float]:
    """Build a block map; returns it, its CPU time in s and that of its longest step in ms."""
    builder, longest_s = BlockMapBuilder(), 0.0
    # Excludes the input blocks from garbage collection, whose time would count as part of a step.
    # A replica does not hold these objects.
    gc.freeze()
    started_s = step_started_s = time.process_time()
    for _ in builder.steps(blocks):
        now_s = time.process_time()
        longest_s, step_started_s = max(longest_s, now_s - step_started_s), now_s
    ended_s = time.process_time()
    gc.unfreeze()
    return builder.result, ended_s - started_s, max(longest_s, ended_s - step_started_s) * 1000


def measure_blocks(seed: int) -> None:
    """Measure size, build time and look-up time of the block map by number of blocks."""
    points = []
    for count in (75_000, 150_000, 300_000, 600_000, 1_200_000):
        blocks = random_blocks(count, 60, seed)
        block_map, build_s, longest_ms = build_block_map(blocks)
        addresses = [IPv4Network(b.block).network_address + 7 for b in blocks[:LOOKUPS]]
        del blocks
        gc.collect()
        size = sum(len(a) * a.itemsize for a in (block_map.ipv4.starts, block_map.ipv4.zones))
        started_s = time.process_time()
        for address in addresses:
            block_map.lookup_address(address)
        lookup_us = (time.process_time() - started_s) / len(addresses) * 1e6
        points.append((count, size))
        print(
            f"slope=blocks blocks={count} ranges={len(block_map)} bytes={size}"
            f" build_s={build_s:.2f} longest_step_ms={longest_ms:.1f} lookup_us={lookup_us:.2f}"
        )
    print_fit("blocks", "bytes_per_block", points)


def print_fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Print the line fitted to a measurement and the range of its points."""
    slope, intercept, r_squared = fit_line(points)
    low, high = min(x for x, _ in points), max(x for x, _ in points)
    assert all(a[0] < b[0] for a, b in pairwise(points))
    print(
        f"fit={name} {unit}={slope:.4g} intercept={intercept:.4g}"
        f" r_squared={r_squared:.4f} range={low:g}..{high:g}"
    )


def measure_exchange(seed: int) -> None:
    """Measure size and CPU time of exchanges by number of members.

    The first exchange between two VMs is a full one. Quiet exchanges follow without changes; their
    size is the mean after the first 20 of them.
    """
    quiet_points, full_points = [], []
    for count in (11, 50, 130, 260, 520):
        caller, callee = (build_exchanger(name, count) for name in ("vm-0", "vm-1"))
        full = run_exchange(caller, callee, 1.0)
        steady = [run_exchange(caller, callee, 2.0 + second) for second in range(60)]
        quiet = round(sum(steady[20:]) / len(steady[20:]))
        started_s = time.process_time()
        for step in range(EXCHANGES):
            run_exchange(caller, callee, 70.0 + step / 1000)
        cpu_us = (time.process_time() - started_s) / EXCHANGES * 1e6
        quiet_points.append((count, cpu_us))
        full_points.append((count, full))
        print(
            f"slope=exchange members={count} full_bytes={full} quiet_bytes={quiet}"
            f" both_ends_us={cpu_us:.0f}"
        )
    print_fit("exchange-quiet", "us_per_member", quiet_points)
    print_fit("exchange-full", "bytes_per_member", full_points)


def build_exchanger(vm: str, members: int) -> Exchanger:
    """Build the exchanger of a live VM in a fleet of the given size."""
    roster = Roster(VmIdentity(vm, 1, "10.0.0.1:8080", "10.0.0.1:8081", "a1"))
    roster.announce(VmState.LIVE)
    for number in range(2, members):
        identity = VmIdentity(f"vm-{number}", 1, "10.0.0.2:8080", "10.0.0.2:8081", "a1")
        roster.merge((Member(identity, VmState.LIVE, 2),))
    replica, freshness = Replica(), Freshness()
    reader = StoreReader(None, replica, freshness, lambda: False, lambda: 0.0, random.Random(1))
    quorum = Quorum(roster, lambda: members)
    isolation = IsolationCheck.starting(0.0)
    return Exchanger(roster, FactTable(vm, 1), replica, freshness, reader, quorum, isolation)


def run_exchange(caller: Exchanger, callee: Exchanger, now_s: float) -> int:
    """Run an exchange with encoded messages and return the size of both messages in bytes."""
    call = caller.build_message(callee.roster.own.vm, now_s)
    sent = encode_exchange(call, DEFAULT_CODEC, now_s)
    callee.apply_message(decode_exchange(sent, DEFAULT_CODEC, now_s).ok_value, now_s)
    answer = encode_exchange(
        callee.build_message(caller.roster.own.vm, now_s, is_answer=True), DEFAULT_CODEC, now_s
    )
    message = decode_exchange(answer, DEFAULT_CODEC, now_s).ok_value
    caller.apply_message(message, now_s, call_sent_s=now_s)
    caller.record_answered_call(callee.roster.own.vm, call, now_s)
    return len(sent) + len(answer)


def measure_locate(seed: int) -> None:
    """Measure the CPU time of ranking the VMs for a client by number of VMs."""
    points = []
    zones = tuple(AvailabilityZone(f"z{n}", f"r{n // 2}") for n in range(10))
    for count in (11, 50, 130, 260, 520):
        roster = Roster(VmIdentity("vm-0", 1, "10.0.0.1:8080", "", "z0"))
        roster.announce(VmState.LIVE)
        for number in range(1, count):
            identity = VmIdentity(f"vm-{number}", 1, "10.0.0.2:8080", "", f"z{number % 10}")
            roster.record_message(Member(identity, VmState.LIVE, 2), 0.0)
        document = FleetDocument(count, zones)
        ranker = VmRanker(roster)
        started_s = time.process_time()
        for number in range(RANKINGS):
            now_s = 1.0 + number / LOOKUPS_PER_S
            ranker.rank(f"client-{number}", f"z{number % 10}", document, now_s)
        cpu_us = (time.process_time() - started_s) / RANKINGS * 1e6
        points.append((count, cpu_us))
        print(f"slope=locate vms={count} us={cpu_us:.0f}")
    print_fit("locate", "us_per_vm", points)


def measure_ledger(seed: int) -> None:
    """Measure size and planning time of a service's ledger by number of VMs."""
    sizes, times = [], []
    for count in (11, 50, 130, 260, 520):
        holders = tuple(VmIncarnation(f"vm-{n}", 1) for n in range(count))
        limits = {f"workspace:records/w{n}": BudgetLimit(200.0, 400.0) for n in range(BUDGET_COUNT)}
        rng = random.Random(seed)
        demand = {b: {h: rng.uniform(0.0, 2.0) for h in holders} for b in limits}
        inputs = PlanInputs(limits, holders, frozenset(), demand, {}, {}, 100_000 // count)
        started_s = time.process_time()
        planned = plan_ledger(Ledger(), 0, inputs, 0.0)
        plan_ms = (time.process_time() - started_s) * 1000
        size = len(json.dumps(encode_ledger(planned), separators=(",", ":")))
        sizes.append((count, size))
        times.append((count, plan_ms))
        print(f"slope=ledger vms={count} budgets={BUDGET_COUNT} bytes={size} plan_ms={plan_ms:.1f}")
    print_fit("ledger-size", "bytes_per_vm", sizes)
    print_fit("ledger-plan", "ms_per_vm", times)


MEASUREMENTS: dict[str, Callable[[int], None]] = {
    "blocks": measure_blocks,
    "exchange": measure_exchange,
    "locate": measure_locate,
    "ledger": measure_ledger,
}


def main() -> None:
    """Run the measurements named on the command line, or all of them."""
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ", ".join(MEASUREMENTS)
        print(f"slopes: unknown measurement {unknown[0]!r}; known: {known}", file=sys.stderr)
        sys.exit(2)
    seed = 1
    print(f"seed={seed}")
    for name in names:
        MEASUREMENTS[name](seed)


if __name__ == "__main__":
    main()
