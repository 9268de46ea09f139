"""Tests for the mapping of client blocks to availability zones."""

from ipaddress import IPv4Address, IPv4Network, ip_network

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailbay.config import ClientBlock
from wagtailbay.locate.blocks import (
    BlockMapBuilder,
    build_block_map,
    build_block_map_in_slices,
    parse_block,
)
from wagtailbay.locate.const import BLOCKS_PER_SLICE

BLOCKS = st.lists(
    st.builds(
        lambda address, length, zone: ClientBlock(
            str(IPv4Network((address & (0xFFFFFFFF << (32 - length)), length))), zone
        ),
        st.integers(0, 0xFFFFFFFF),
        st.integers(1, 32),
        st.sampled_from(["a1", "a2", "b1"]),
    ),
    max_size=12,
    unique_by=lambda item: item.block,
)


def longest_matching_zone(blocks: list[ClientBlock], address: IPv4Address) -> str | None:
    """Return the zone of the longest matching block by linear search."""
    holding = [item for item in blocks if address in IPv4Network(item.block)]
    best = max(holding, key=lambda item: IPv4Network(item.block).prefixlen, default=None)
    return best.availability_zone if best else None


class TestBlockMap:
    """A lookup returns the zone of the longest matching block."""

    @settings(derandomize=True, max_examples=300)
    @given(BLOCKS, st.lists(st.integers(0, 0xFFFFFFFF), max_size=8))
    def test_matches_linear_search(self, blocks, numbers) -> None:
        """Guards against nested or adjacent blocks that hide each other in a lookup."""
        block_map = build_block_map(blocks)
        edges = [
            int(edge) + step
            for item in blocks
            for edge in (IPv4Network(item.block)[0], IPv4Network(item.block)[-1])
            for step in (-1, 0, 1)
        ]
        for number in numbers + [e for e in edges if 0 <= e <= 0xFFFFFFFF]:
            address = IPv4Address(number)
            assert block_map.lookup_address(address) == longest_matching_zone(blocks, address)

    def test_invalid_address_is_unmapped(self) -> None:
        """Guards against a lookup that raises on invalid client input."""
        block_map = build_block_map([ClientBlock("2001:db8::/32", "a1")])
        assert block_map.lookup("2001:db8::5") == "a1"
        assert block_map.lookup("not an address") is None
        assert block_map.lookup("10.0.0.1") is None

    def test_duplicate_blocks_and_block_notations(self) -> None:
        """Guards against wrong parsing of a block notation that document validation accepts."""
        block_map = build_block_map(
            [ClientBlock("10.0.0.0/8", "b1"), ClientBlock("10.0.0.0/8", "a1")]
        )
        assert block_map.lookup("10.1.2.3") == "a1"
        for text in ("10.0.0.0/255.0.0.0", "10.0.0.1", "0.0.0.0/0", "2001:db8::1", "::/0"):
            block = ip_network(text)
            shift = 64 if block.version == 6 else 0
            first, length, bits = parse_block(text)
            assert first == int(block.network_address) >> shift
            assert (length, bits) == (
                min(block.prefixlen, 64 if shift else 32),
                64 if shift else 32,
            )


class TestBuildInSlices:
    """Other tasks run while a large map is built."""

    async def test_other_tasks_run_between_slices(self) -> None:
        """Guards against lookups and heartbeats that wait until the whole map is built."""
        count = 10 * BLOCKS_PER_SLICE
        blocks = [ClientBlock(f"10.{n >> 8}.{n & 255}.0/24", f"z{n % 3}") for n in range(count)]
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            block_map = await build_block_map_in_slices(blocks)
            nursery.cancel_scope.cancel()
        # Each block is processed twice: when it is read and when it is flattened.
        assert turns >= 2 * count // BLOCKS_PER_SLICE - 2
        assert block_map == build_block_map(blocks)
        assert len(list(BlockMapBuilder().steps(blocks))) == 2 * count // BLOCKS_PER_SLICE
