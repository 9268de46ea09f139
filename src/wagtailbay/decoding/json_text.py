"""Parse JSON documents that may contain values too deep or too large for the JSON parser."""

import json
import re
from typing import Any

from result import Err, Ok, Result

from wagtailbay.decoding.const import MAX_INTEGER_DIGITS, MAX_NESTING

# A string, or a bracket outside of strings.
STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)


def parse_json(data: bytes) -> Result[Any, str]:
    """Parse a JSON document, or return why it is malformed.

    Bytes that are not UTF-8 become replacement characters. If the document is nested too deeply or
    has an integer that is too long, only that value is replaced, so that the others stay readable.
    """
    text = data.decode("utf-8", errors="replace")
    try:
        return Ok(json.loads(text))
    except (ValueError, RecursionError):
        pass
    try:
        return Ok(json.loads(_replace_deep_values(text), parse_int=_parse_integer))
    except (ValueError, RecursionError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _replace_deep_values(text: str) -> str:
    """Replace each array or object nested deeper than MAX_NESTING by null."""
    kept: list[str] = []
    depth = kept_through = 0
    for match in STRING_OR_BRACKET.finditer(text):
        bracket = match[0]
        if bracket in "[{":
            depth += 1
            if depth == MAX_NESTING + 1:
                kept.append(text[kept_through : match.start()])
        elif bracket in "]}":
            if depth == MAX_NESTING + 1:
                kept.append("null")
                kept_through = match.end()
            depth -= 1
    if depth > MAX_NESTING:
        # The document ends inside a deep value and is malformed in any case.
        return "".join(kept)
    return "".join([*kept, text[kept_through:]])


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)
