"""Check the scalar values and the depth of a document before schema validation."""

import math
from datetime import date, time
from typing import Any

from wagtailbay.config.const import MAX_DOCUMENT_DEPTH
from wagtailbay.config.errors import DocumentError, extend_path


def check_values(document: Any) -> tuple[DocumentError, ...]:
    """Return errors for values that a JSON schema accepts or cannot be applied to.

    These are non-finite numbers, TOML dates, control characters (``$`` in a pattern also matches
    before a trailing line feed) and nesting deeper than any valid document.
    """
    errors: list[DocumentError] = []
    stack: list[tuple[str, Any, int]] = [("", document, 1)]
    while stack:
        path, value, depth = stack.pop()
        if depth > MAX_DOCUMENT_DEPTH:
            return (DocumentError(path, f"nested deeper than {MAX_DOCUMENT_DEPTH} levels"),)
        message = _value_error(value)
        if message:
            errors.append(DocumentError(path or "(document)", message))
        stack.extend(_children(path, value, depth + 1))
    return tuple(sorted(errors, key=lambda error: error.path))


def _value_error(value: Any) -> str | None:
    if isinstance(value, float) and not math.isfinite(value):
        return f"must be a finite number, got {value}"
    if isinstance(value, date | time):
        return "must not be a date; give a time as Unix seconds"
    if isinstance(value, str) and not value.isprintable():
        return "must not contain control characters"
    return None


def _children(path: str, value: Any, depth: int) -> list[tuple[str, Any, int]]:
    if isinstance(value, dict):
        return [(extend_path(path, str(key)), item, depth) for key, item in value.items()]
    if isinstance(value, list):
        return [(extend_path(path, index), item, depth) for index, item in enumerate(value)]
    return []
