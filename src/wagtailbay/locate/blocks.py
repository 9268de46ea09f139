"""Map client addresses to availability zones by CIDR block."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from heapq import heapify, heappop
from ipaddress import IPv4Address, IPv6Address, ip_address, ip_network
from socket import AF_INET, AF_INET6, inet_pton

import trio
from attrs import define, field

from wagtailbay.config import ClientBlock
from wagtailbay.locate.const import (
    BLOCKS_PER_SLICE,
    IPV4_BUCKET_SHIFT,
    IPV6_BUCKET_SHIFT,
    IPV6_PREFIX_BITS,
    PREFIX_LENGTH_BITS,
    PREFIX_LENGTH_MASK,
    UNMAPPED,
    ZONE_BITS,
)


@define
class _Ranges:
    """Sorted disjoint address ranges; each ends before the start of the next."""

    starts: array
    zones: array = field(factory=lambda: array("H"))

    def append(self, start: int, zone: int) -> None:
        """Append a range that starts at or after the start of the last one."""
        if self.starts and self.starts[-1] == start:
            self.zones[-1] = zone
        elif not self.zones or self.zones[-1] != zone:
            self.starts.append(start)
            self.zones.append(zone)

    def lookup(self, address: int) -> int:
        """Return the zone index of an address, ``UNMAPPED`` if there is none."""
        index = bisect_right(self.starts, address) - 1
        return self.zones[index] if index >= 0 else UNMAPPED


@define
class BlockMap:
    """Maps an address to the availability zone of its longest matching block.

    Nested blocks are flattened into disjoint ranges when the map is built, so that a lookup is one
    binary search. A range takes 6 bytes for IPv4 and 10 bytes for IPv6.
    """

    names: list[str] = field(factory=list)
    ipv4: _Ranges = field(factory=lambda: _Ranges(array("I")))
    ipv6: _Ranges = field(factory=lambda: _Ranges(array("Q")))

    def lookup(self, text: str) -> str | None:
        """Return the availability zone of an address; None if it is unmapped or invalid."""
        try:
            address = ip_address(text)
        except ValueError:
            return None
        return self.lookup_address(address)

    def lookup_address(self, address: IPv4Address | IPv6Address) -> str | None:
        """Return the availability zone of a parsed address, None if it is unmapped."""
        if isinstance(address, IPv4Address):
            zone = self.ipv4.lookup(int(address))
        else:
            zone = self.ipv6.lookup(int(address) >> IPV6_PREFIX_BITS)
        return None if zone == UNMAPPED else self.names[zone]

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self.ipv4.starts) + len(self.ipv6.starts)


def build_block_map(blocks: Iterable[ClientBlock]) -> BlockMap:
    """Build the map without yielding; the later of two equal blocks takes precedence."""
    builder = BlockMapBuilder()
    for _ in builder.steps(blocks):
        pass
    return builder.result


async def build_block_map_in_slices(blocks: Iterable[ClientBlock]) -> BlockMap:
    """Build the map in slices, letting other tasks run after each."""
    builder = BlockMapBuilder()
    for _ in builder.steps(blocks):
        await trio.lowlevel.checkpoint()
    return builder.result


@define
class BlockMapBuilder:
    """Builds a block map in steps of about BLOCKS_PER_SLICE blocks.

    Blocks are first grouped into buckets by the upper bits of their address, so that no sort covers
    all blocks. Each block is packed into one integer of address, prefix length and zone, which is
    also the sort key. A block that encloses others has a shorter prefix and so sorts before them.

    Attributes:
        ipv4: Packed blocks by the upper 14 bits of the address.
        ipv6: Packed blocks by the upper 32 bits of the address.
    """

    result: BlockMap = field(factory=BlockMap)
    zones: dict[str, int] = field(factory=dict)
    ipv4: dict[int, array] = field(factory=dict)
    ipv6: dict[int, list[int]] = field(factory=dict)

    def steps(self, blocks: Iterable[ClientBlock]) -> Iterator[None]:
        """Yield after each step; ``result`` is complete once the iterator is exhausted."""
        for count, item in enumerate(blocks, start=1):
            self._add(item)
            if count % BLOCKS_PER_SLICE == 0:
                yield
        self.result.names = list(self.zones)
        yield from _flatten(self.ipv4, self.result.ipv4, 32)
        yield from _flatten(self.ipv6, self.result.ipv6, IPV6_PREFIX_BITS)

    def _add(self, item: ClientBlock) -> None:
        zone = self.zones.setdefault(item.availability_zone, len(self.zones))
        first, length, bits = parse_block(item.block)
        packed = (first << PREFIX_LENGTH_BITS | length) << ZONE_BITS | zone
        if bits == 32:
            self.ipv4.setdefault(first >> IPV4_BUCKET_SHIFT, array("Q")).append(packed)
        else:
            self.ipv6.setdefault(first >> IPV6_BUCKET_SHIFT, []).append(packed)


def parse_block(text: str) -> tuple[int, int, int]:
    """Return first address, prefix length and address bits; IPv6 is cut to its upper 64 bits."""
    address, _, length = text.partition("/")
    try:
        if ":" in address:
            first = int.from_bytes(inet_pton(AF_INET6, address)[:8], "big")
            return first, min(IPV6_PREFIX_BITS, int(length)), IPV6_PREFIX_BITS
        return int.from_bytes(inet_pton(AF_INET, address), "big"), int(length), 32
    except (OSError, ValueError):
        # A netmask or no prefix length; document validation accepts every ip_network notation.
        block = ip_network(text)
        return parse_block(block.with_prefixlen)


def _flatten(blocks: Mapping[int, Iterable[int]], ranges: _Ranges, bits: int) -> Iterator[None]:
    """Flatten nested or disjoint blocks into ranges; an inner block overrides its outer block."""
    enclosing: list[tuple[int, int]] = []

    def close_ranges_before(start: int) -> None:
        while enclosing and enclosing[-1][0] < start:
            last_address, _ = enclosing.pop()
            ranges.append(last_address + 1, enclosing[-1][1] if enclosing else UNMAPPED)

    count, buckets = 0, list(blocks)
    # A heap spreads the cost of sorting the buckets over the steps.
    heapify(buckets)
    while buckets:
        bucket = heappop(buckets)
        # The sort is stable, so the later of two equal blocks takes precedence.
        for packed in sorted(blocks[bucket], key=ZONE_BITS.__rrshift__):
            zone, key = packed & UNMAPPED, packed >> ZONE_BITS
            first, length = key >> PREFIX_LENGTH_BITS, key & PREFIX_LENGTH_MASK
            close_ranges_before(first)
            ranges.append(first, zone)
            enclosing.append((first + (1 << (bits - length)) - 1, zone))
            count += 1
            if count % BLOCKS_PER_SLICE == 0:
                yield
    while enclosing:
        last_address, _ = enclosing.pop()
        if last_address + 1 < 1 << bits:
            ranges.append(last_address + 1, enclosing[-1][1] if enclosing else UNMAPPED)
