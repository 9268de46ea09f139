"""Format results as text and tables."""

import json
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any


def format_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Format rows under a header line, with two spaces between columns."""
    if not rows:
        return "(none)"
    lines = [
        [name.upper() for name in columns],
        *([format_cell(value) for value in row] for row in rows),
    ]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def format_objects(items: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Format the given fields of JSON objects as a table."""
    return format_table(columns, [[item.get(name) for name in columns] for item in items])


def format_cell(value: Any) -> str:
    """Format one value; replace control characters, which a terminal would interpret."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = value if isinstance(value, str) else json.dumps(value, sort_keys=True)
    return "".join(character if character.isprintable() else "?" for character in text)


def format_time(unix_s: Any) -> str:
    """Format a Unix time in UTC; format other values like any cell."""
    try:
        return f"{datetime.fromtimestamp(float(unix_s), UTC):%Y-%m-%d %H:%M:%SZ}"
    except (TypeError, ValueError, OverflowError, OSError):
        return format_cell(unix_s)


def format_json(value: Any) -> str:
    """Format a value as indented JSON with sorted fields."""
    return json.dumps(value, indent=2, sort_keys=True)
