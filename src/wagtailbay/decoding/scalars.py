"""Check decoded numbers and texts before they are stored or calculated with."""

from math import isfinite
from typing import Any

from wagtailbay.decoding.const import MAX_COUNT, MAX_DURATION_MS, MAX_TEXT_LENGTH


def require_text(value: Any) -> str:
    """Return a non-empty text that can be encoded and is not excessively long.

    Raises:
        ValueError: The value is not such a text.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty string, got {_shorten(value)}")
    if len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"expected at most {MAX_TEXT_LENGTH} characters, got {len(value)}")
    value.encode()
    return value


def require_count(value: Any, minimum: int = 0, maximum: int = MAX_COUNT) -> int:
    """Return an integer within the limits; booleans and fractions are not integers.

    Raises:
        ValueError: The value is not such an integer.
    """
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError(f"expected an integer from {minimum} to {maximum}, got {_shorten(value)}")
    return value


def require_duration_ms(duration_ms: float) -> float:
    """Return a duration that is not negative and at most a year, in milliseconds.

    Raises:
        ValueError: The duration is outside of these limits.
    """
    if not isfinite(duration_ms) or not 0 <= duration_ms <= MAX_DURATION_MS:
        raise ValueError(f"expected a duration of at most a year, got {duration_ms} ms")
    return duration_ms


def _shorten(value: Any) -> str:
    """Describe a value without formatting a large or deeply nested one."""
    if isinstance(value, str | float | bool | None):
        return repr(value)[:80]
    if isinstance(value, int) and abs(value) < 2**64:
        return repr(value)
    return f"a value of type {type(value).__name__}"
