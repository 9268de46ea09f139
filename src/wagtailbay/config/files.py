"""Decode documents from files and request bodies."""

import json
import tomllib
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from wagtailbay.config.errors import DocumentError, truncate
from wagtailbay.store.const import MAX_VALUE_BYTES


def decode_json(data: bytes) -> Result[Any, DocumentError]:
    """Decode JSON that does not exceed the maximum size of a stored object."""
    if len(data) > MAX_VALUE_BYTES:
        return Err(DocumentError("(document)", f"exceeds {MAX_VALUE_BYTES} bytes"))
    try:
        return Ok(json.loads(data))
    except (ValueError, RecursionError) as error:
        return Err(DocumentError("(document)", f"is not JSON: {truncate(str(error))}"))


def decode_toml(data: bytes) -> Result[Any, DocumentError]:
    """Decode TOML that does not exceed the maximum size of a stored object."""
    if len(data) > MAX_VALUE_BYTES:
        return Err(DocumentError("(document)", f"exceeds {MAX_VALUE_BYTES} bytes"))
    try:
        return Ok(tomllib.loads(data.decode()))
    except (ValueError, RecursionError) as error:
        return Err(DocumentError("(document)", f"is not TOML: {truncate(str(error))}"))


def read_document(path: Path) -> Result[Any, DocumentError]:
    """Read a document file; the suffix ``.json`` selects JSON, any other TOML."""
    try:
        data = path.read_bytes()
    except (OSError, ValueError) as error:
        return Err(DocumentError("(file)", f"cannot be read: {truncate(str(error))}"))
    return decode_json(data) if path.suffix == ".json" else decode_toml(data)
