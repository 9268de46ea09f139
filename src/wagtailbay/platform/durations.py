"""Read the platform's times, a number with its unit as one text."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


def parse_duration_ms(text: object) -> float:
    """Return the milliseconds of a text such as ``1500ms`` or ``2.5s``.

    Raises:
        ValueError: The value is no such text.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"expected a number with ms or s, got {text!r}")
    return float(match[1]) * _MS_PER_UNIT[match[2]]


def format_duration_ms(duration_ms: float) -> str:
    """Return the text of a time in milliseconds."""
    return f"{round(duration_ms)}ms"
