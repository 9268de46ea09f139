"""Test the format of log lines."""

import io
import json

from hypothesis import given
from hypothesis import strategies as st
from support.properties import PROPERTY

from wagtailbay.logs import format_line, log_event, parse_line, start_logging

KEYS = st.from_regex(r"[A-Za-z0-9_.\-]{1,8}", fullmatch=True)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = SCALARS | st.lists(SCALARS, max_size=3) | st.dictionaries(st.text(), SCALARS, max_size=3)


class TestLines:
    """A formatted line can always be parsed."""

    @PROPERTY
    @given(st.dictionaries(KEYS, VALUES, max_size=6))
    def test_formatted_values_are_parsed_unchanged(self, values: dict) -> None:
        """Guards against values that break the line or lose characters."""
        line = format_line(values)
        expected = {k: v if isinstance(v, str) else json.dumps(v) for k, v in values.items()}
        assert len(line.splitlines()) <= 1
        assert parse_line(line) == expected

    @PROPERTY
    @given(st.dictionaries(st.text(), st.binary() | st.text(), min_size=1, max_size=3))
    def test_lines_with_arbitrary_keys_can_be_parsed(self, values: dict) -> None:
        """Guards against keys from untrusted input that make a line unparsable."""
        assert set(parse_line(format_line(values)).values()) <= {str(v) for v in values.values()}

    def test_values_not_representable_in_json(self) -> None:
        """Guards against an exception raised by logging."""
        circular: list = []
        circular.append(circular)
        parsed = parse_line(format_line({"a": {(1, 2): 3}, "b": circular, "c": {1, 2}}))
        assert set(parsed) == {"a", "b", "c"}


class TestStartLogging:
    """Events are written to the stream as lines."""

    def test_event_is_written_as_one_line(self) -> None:
        """Guards against internal fields of eliot in log lines."""
        stream = io.StringIO()
        start_logging(stream, "program", "vm-1")
        log_event("started", reason="a b\n", count=2)
        # Eliot also sends the messages logged before it had a destination.
        fields = parse_line(stream.getvalue().splitlines()[-1])
        assert float(fields.pop("time")) > 0
        assert fields == {
            "event": "started",
            "program": "program",
            "vm": "vm-1",
            "reason": "a b\n",
            "count": "2",
        }
