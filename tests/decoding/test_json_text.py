"""Tests of parsing JSON documents with values that the JSON parser cannot handle."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from wagtailbay.decoding import parse_json
from wagtailbay.decoding.const import MAX_NESTING

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=20,
)


def nest(levels: int) -> str:
    """Return a JSON array nested to the given depth."""
    return "[" * levels + "]" * levels


class TestParseJson:
    """Documents are parsed even if single values are not usable."""

    @given(JSON_VALUES)
    def test_valid_document_is_unchanged(self, value):
        """Guards against altering documents that the JSON parser accepts."""
        assert parse_json(json.dumps(value).encode()) == Ok(value)

    @pytest.mark.parametrize(
        "odd",
        [
            nest(100_000),
            '{"a":' * 50_000 + "1" + "}" * 50_000,
            "9" * 5_000,
            "-" + "9" * 5_000,
            "1e999",
        ],
    )
    def test_odd_value_does_not_hide_its_neighbours(self, odd):
        """Guards against one entry of a list page that makes the whole page unreadable."""
        document = f'{{"items": ["a\\"[{{", {odd}, {{"b": [1, 2]}}], "at": 7}}'
        value = parse_json(document.encode()).ok_value
        assert value["items"][0] == 'a"[{'
        assert value["items"][2] == {"b": [1, 2]}
        assert value["at"] == 7

    def test_bytes_that_are_not_utf8_are_replaced(self):
        """Guards against one undecodable byte that makes the whole page unreadable."""
        assert parse_json(b'["\xff\xfe", 1]') == Ok(["��", 1])

    def test_values_up_to_the_nesting_limit_are_kept(self):
        """Guards against removing more than the values that are too deep."""
        deepest = json.loads(nest(MAX_NESTING - 1))
        document = f"[{nest(MAX_NESTING - 1)}, {nest(100_000)}]"
        kept, cut = parse_json(document.encode()).ok_value
        assert kept == deepest
        assert cut is not None

    @pytest.mark.parametrize(
        "document", [b"", b"[1", b"[" * 100_000, b'{"a": }', b'["' + b"\\" * 9_999, b"nonsense"]
    )
    def test_malformed_document_is_an_error(self, document):
        """Guards against an exception that ends the reading task."""
        assert isinstance(parse_json(document), Err)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_give_a_result(self, data):
        """Guards against an exception on bytes that are not JSON."""
        assert isinstance(parse_json(data), Ok | Err)
