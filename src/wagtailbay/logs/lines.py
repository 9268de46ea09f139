"""Format and parse lines of key=value pairs."""

import json
import re
from collections.abc import Mapping
from typing import Any

JSON_TYPES = (bool, int, float, type(None), list, tuple, dict)
INVALID_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_.\-]")
UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/+\-]+")
KEY_VALUE_PAIR = re.compile(r'([A-Za-z0-9_.\-]+)=("(?:[^"\\]|\\.)*"|[A-Za-z0-9_.:/+\-]+)(?: |$)')


def format_line(values: Mapping[str, Any]) -> str:
    """Format values as one line; values with special characters become JSON strings."""
    return " ".join(f"{format_key(key)}={format_value(value)}" for key, value in values.items())


def format_key(key: Any) -> str:
    """Format a key; replace characters that could not be parsed back with underscores."""
    return INVALID_KEY_CHARACTER.sub("_", str(key)) or "_"


def format_value(value: Any) -> str:
    """Format a value, as a JSON string if it has characters that need quoting."""
    text = value if isinstance(value, str) else encode_value(value)
    return text if UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)


def encode_value(value: Any) -> str:
    """Encode a value as JSON, or with str() or repr() if JSON cannot represent it."""
    if not isinstance(value, JSON_TYPES):
        return str(value)
    try:
        return json.dumps(value, default=str)
    except (TypeError, ValueError, RecursionError):
        return repr(value)


def parse_line(line: str) -> dict[str, str]:
    """Parse a line written by format_line.

    Raises:
        ValueError: A part of the line is not a key=value pair.
    """
    pairs: dict[str, str] = {}
    position = 0
    while position < len(line):
        match = KEY_VALUE_PAIR.match(line, position)
        if match is None:
            raise ValueError(f"expected a key=value pair at column {position}")
        key, value = match.groups()
        pairs[key] = json.loads(value) if value.startswith('"') else value
        position = match.end()
    return pairs
