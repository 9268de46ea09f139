"""Decode documents from the text of files and requests."""

import json
import tomllib
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from wagtailbay.config.faults import DocumentFault, shorten
from wagtailbay.store.const import MAX_VALUE_BYTES


def decode_json(data: bytes) -> Result[Any, DocumentFault]:
    """Decode JSON of at most the size of one stored object."""
    if len(data) > MAX_VALUE_BYTES:
        return Err(DocumentFault("(document)", f"exceeds {MAX_VALUE_BYTES} bytes"))
    try:
        return Ok(json.loads(data))
    except (ValueError, RecursionError) as error:
        return Err(DocumentFault("(document)", f"is not JSON: {shorten(str(error))}"))


def decode_toml(data: bytes) -> Result[Any, DocumentFault]:
    """Decode TOML of at most the size of one stored object."""
    if len(data) > MAX_VALUE_BYTES:
        return Err(DocumentFault("(document)", f"exceeds {MAX_VALUE_BYTES} bytes"))
    try:
        return Ok(tomllib.loads(data.decode()))
    except (ValueError, RecursionError) as error:
        return Err(DocumentFault("(document)", f"is not TOML: {shorten(str(error))}"))


def read_document(path: Path) -> Result[Any, DocumentFault]:
    """Read a ``.json`` or ``.toml`` file; the suffix decides."""
    try:
        data = path.read_bytes()
    except (OSError, ValueError) as error:
        return Err(DocumentFault("(file)", f"cannot be read: {shorten(str(error))}"))
    return decode_json(data) if path.suffix == ".json" else decode_toml(data)
