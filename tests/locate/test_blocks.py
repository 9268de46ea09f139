"""Test the map from client blocks to availability zones."""

from ipaddress import IPv4Address, IPv4Network

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailbay.config import ClientBlock
from wagtailbay.locate.blocks import build_block_map

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


def longest_match(blocks: list[ClientBlock], address: IPv4Address) -> str | None:
    """Return the zone of the longest block by trying all of them."""
    holding = [item for item in blocks if address in IPv4Network(item.block)]
    best = max(holding, key=lambda item: IPv4Network(item.block).prefixlen, default=None)
    return best.availability_zone if best else None


class TestBlockMap:
    """A look-up agrees with the longest matching block."""

    @settings(derandomize=True, max_examples=300)
    @given(BLOCKS, st.lists(st.integers(0, 0xFFFFFFFF), max_size=8))
    def test_agrees_with_trying_all_blocks(self, blocks, numbers) -> None:
        """Guards against a nested block that hides or is hidden by its neighbours."""
        found = build_block_map(blocks)
        edges = [
            int(edge) + step
            for item in blocks
            for edge in (IPv4Network(item.block)[0], IPv4Network(item.block)[-1])
            for step in (-1, 0, 1)
        ]
        for number in numbers + [e for e in edges if 0 <= e <= 0xFFFFFFFF]:
            address = IPv4Address(number)
            assert found.find_address(address) == longest_match(blocks, address)

    def test_text_that_is_no_address_is_unmapped(self) -> None:
        """Guards against a look-up that raises on a client's bad input."""
        found = build_block_map([ClientBlock("2001:db8::/32", "a1")])
        assert found.find("2001:db8::5") == "a1"
        assert found.find("not an address") is None
        assert found.find("10.0.0.1") is None
