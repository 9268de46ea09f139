"""Decode untrusted JSON so that one malformed part does not make the rest unreadable."""

from wagtailbay.decoding.const import DECODE_ERRORS, MAX_COUNT
from wagtailbay.decoding.json_text import parse_json
from wagtailbay.decoding.scalars import require_count, require_duration_ms, require_text

__all__ = [
    "DECODE_ERRORS",
    "MAX_COUNT",
    "parse_json",
    "require_count",
    "require_duration_ms",
    "require_text",
]
