"""Decode requests and encode answers of the administration API."""

import json
from collections.abc import Mapping
from functools import cache
from importlib import resources
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from wagtailbay.admin.models import AdminError, invalid
from wagtailbay.config import decode_json
from wagtailbay.config.schema import validate_against_schema


@cache
def openapi() -> dict[str, Any]:
    """Return the OpenAPI document."""
    return json.loads(resources.files("wagtailbay.admin").joinpath("openapi.json").read_text())


@cache
def _validator(schema: str) -> Draft202012Validator:
    return Draft202012Validator(openapi()["components"]["schemas"][schema])


def decode_body(data: bytes, schema: str) -> Result[Any, AdminError]:
    """Decode a request body and check it against a schema of the OpenAPI document.

    The document inside a body is left to the config slice, whose faults are more precise.
    """
    decoded = decode_json(data)
    if isinstance(decoded, Err):
        return Err(invalid((decoded.err_value,)))
    body = decoded.ok_value
    outer = {**body, "document": {}} if isinstance(body, dict) and "document" in body else body
    faults = validate_against_schema(_validator(schema), outer)
    return Err(invalid(faults)) if faults else Ok(body)


def decode_target(target: str) -> tuple[tuple[str, ...], dict[str, str]]:
    """Split a request target into decoded path segments and query fields."""
    parts = urlsplit("//host/" + target.lstrip("/"))
    segments = tuple(unquote(part) for part in parts.path.split("/")[1:])
    try:
        fields = parse_qs(parts.query, keep_blank_values=True, max_num_fields=20)
    except ValueError:
        fields = {}
    return segments, {name: values[0] for name, values in fields.items()}


def error_json(error: AdminError) -> dict[str, Any]:
    """Return the body of an error."""
    faults = [{"path": fault.path, "message": fault.message} for fault in error.faults]
    value: dict[str, Any] = {"code": error.code, "message": error.message, "faults": faults}
    if error.current_version is not None:
        value["current_version"] = error.current_version
    return {"error": value}


def decode_entry_status(body: bytes) -> Result[Mapping[str, Any], str]:
    """Decode the status that an entry VM gave."""
    match decode_json(body):
        case Ok(dict() as status):
            return Ok(status)
        case Ok(_):
            return Err("the status is no JSON object")
        case Err(fault):
            return Err(f"the status {fault.message}")
