"""Parsing and formatting of the platform's durations, such as ``1500ms``."""

import re

from wagtailbay.decoding import require_duration_ms

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


def parse_duration_ms(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` into milliseconds.

    Raises:
        ValueError: The value is not a string of this form, or the duration is over a year.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"expected a number followed by ms or s, got {repr(text)[:80]}")
    return require_duration_ms(float(match[1]) * _MS_PER_UNIT[match[2]])


def format_duration_ms(duration_ms: float) -> str:
    """Format a duration in whole milliseconds."""
    return f"{round(duration_ms)}ms"
