"""Measure how processor time and memory grow with the size of the state; see docs/CAPACITY.md."""

import gc
import random
import sys
import time
from collections.abc import Callable, Sequence
from ipaddress import IPv4Network
from itertools import pairwise

from wagtailbay.locate.blocks import ClientBlock, build_block_map

PAGE_BYTES = 4096
LOOKUPS = 100_000


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line by least squares; returns slope, intercept and R squared."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    syy = sum((y - mean_y) ** 2 for _, y in points)
    slope = sxy / sxx
    return slope, mean_y - slope * mean_x, (sxy * sxy) / (sxx * syy) if syy else 1.0


def random_blocks(count: int, zones: int, seed: int) -> list[ClientBlock]:
    """Return distinct blocks of 256 addresses, each assigned to one of the zones."""
    generator = random.Random(seed)
    chosen = generator.sample(range(1 << 24), count)
    return [
        ClientBlock(IPv4Network((number << 8, 24)), f"zone-{generator.randrange(zones)}")
        for number in chosen
    ]


def measure_blocks(seed: int) -> None:
    """Measure memory, build time and look-up time of the block map."""
    points = []
    for count in (75_000, 150_000, 300_000, 600_000, 1_200_000):
        blocks = random_blocks(count, 60, seed)
        started_s = time.process_time()
        block_map = build_block_map(blocks)
        build_s = time.process_time() - started_s
        addresses = [block.block.network_address + 7 for block in blocks[:LOOKUPS]]
        del blocks
        gc.collect()
        size = sum(len(a) * a.itemsize for a in (block_map.ipv4.starts, block_map.ipv4.zones))
        started_s = time.process_time()
        for address in addresses:
            block_map.find_address(address)
        lookup_us = (time.process_time() - started_s) / len(addresses) * 1e6
        points.append((count, size))
        print(
            f"slope=blocks blocks={count} ranges={len(block_map)} bytes={size}"
            f" build_s={build_s:.2f} lookup_us={lookup_us:.2f}"
        )
    print_fit("blocks", "bytes_per_block", points)


def print_fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Print the fitted slope of a measurement and its range."""
    slope, intercept, r_squared = fit_line(points)
    low, high = min(x for x, _ in points), max(x for x, _ in points)
    assert all(a[0] < b[0] for a, b in pairwise(points))
    print(
        f"fit={name} {unit}={slope:.4g} intercept={intercept:.4g}"
        f" r_squared={r_squared:.4f} range={low:g}..{high:g}"
    )


MEASUREMENTS: dict[str, Callable[[int], None]] = {"blocks": measure_blocks}


def main() -> None:
    """Run the named measurements, or all."""
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
