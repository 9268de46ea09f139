"""Map client addresses to availability zones by their blocks."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from ipaddress import IPv4Address, IPv6Address, ip_address, ip_network

from attrs import define, field

from wagtailbay.config import ClientBlock

UNMAPPED = 0xFFFF
# IPv6 blocks are kept by their upper 64 bits; longer prefixes are not routed between networks.
IPV6_SHIFT = 64


@define
class _Ranges:
    """Hold disjoint ranges; each begins at a start and ends before the next one."""

    starts: array
    zones: array = field(factory=lambda: array("H"))

    def append(self, start: int, zone: int) -> None:
        """Append a range that begins at or after the last one."""
        if self.starts and self.starts[-1] == start:
            self.zones[-1] = zone
        elif not self.zones or self.zones[-1] != zone:
            self.starts.append(start)
            self.zones.append(zone)

    def find(self, number: int) -> int:
        """Return the zone of an address."""
        index = bisect_right(self.starts, number) - 1
        return self.zones[index] if index >= 0 else UNMAPPED


@define
class BlockMap:
    """Find the availability zone of the longest block that holds an address.

    Nested blocks are flattened into disjoint ranges when the map is built, so that a look-up is one
    bisection. A range takes 6 bytes for IPv4 and 10 bytes for IPv6.
    """

    names: list[str] = field(factory=list)
    ipv4: _Ranges = field(factory=lambda: _Ranges(array("I")))
    ipv6: _Ranges = field(factory=lambda: _Ranges(array("Q")))

    def find(self, text: str) -> str | None:
        """Return the availability zone of an address; None if it is unmapped or no address."""
        try:
            address = ip_address(text)
        except ValueError:
            return None
        return self.find_address(address)

    def find_address(self, address: IPv4Address | IPv6Address) -> str | None:
        """Return the availability zone of a parsed address, or None."""
        if isinstance(address, IPv4Address):
            zone = self.ipv4.find(int(address))
        else:
            zone = self.ipv6.find(int(address) >> IPV6_SHIFT)
        return None if zone == UNMAPPED else self.names[zone]

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self.ipv4.starts) + len(self.ipv6.starts)


def build_block_map(blocks: Iterable[ClientBlock]) -> BlockMap:
    """Build the map; where two blocks are equal the later one counts."""
    result = BlockMap()
    numbers: dict[str, int] = {}
    ranges4: list[tuple[int, int, int]] = []
    ranges6: list[tuple[int, int, int]] = []
    for item in blocks:
        zone = numbers.setdefault(item.availability_zone, len(numbers))
        block = ip_network(item.block)
        first, last = int(block.network_address), int(block.broadcast_address)
        if block.version == 4:
            ranges4.append((first, last, zone))
        else:
            ranges6.append((first >> IPV6_SHIFT, last >> IPV6_SHIFT, zone))
    result.names = list(numbers)
    _flatten(ranges4, result.ipv4)
    _flatten(ranges6, result.ipv6)
    return result


def _flatten(blocks: list[tuple[int, int, int]], ranges: _Ranges) -> None:
    """Flatten blocks, which are nested or disjoint, into ranges; an inner block goes first."""
    enclosing: list[tuple[int, int]] = []

    def close_until(start: int) -> None:
        while enclosing and enclosing[-1][0] < start:
            last, _ = enclosing.pop()
            ranges.append(last + 1, enclosing[-1][1] if enclosing else UNMAPPED)

    for first, last, zone in sorted(blocks, key=lambda block: (block[0], -block[1])):
        close_until(first)
        ranges.append(first, zone)
        enclosing.append((last, zone))
    while enclosing:
        last, _ = enclosing.pop()
        if last + 1 < 1 << (8 * ranges.starts.itemsize):
            ranges.append(last + 1, enclosing[-1][1] if enclosing else UNMAPPED)
