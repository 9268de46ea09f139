"""Decoding of requests and encoding of errors of the administration API."""

import json
from collections.abc import Mapping
from functools import cache
from importlib import resources
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from wagtailbay.admin.models import AdminError, invalid_input
from wagtailbay.config import decode_json
from wagtailbay.config.schema import validate_against_schema


@cache
def load_openapi() -> dict[str, Any]:
    """Return the OpenAPI document that is packaged with this module."""
    return json.loads(resources.files("wagtailbay.admin").joinpath("openapi.json").read_text())


@cache
def _schema_validator(schema: str) -> Draft202012Validator:
    return Draft202012Validator(load_openapi()["components"]["schemas"][schema])


def decode_body(data: bytes, schema: str) -> Result[Any, AdminError]:
    """Decode a request body and validate it against a schema of the OpenAPI document.

    A configuration document in the body is not validated here, since the config slice returns more
    precise errors for it.
    """
    decoded = decode_json(data)
    if isinstance(decoded, Err):
        return Err(invalid_input((decoded.err_value,)))
    body = decoded.ok_value
    envelope = {**body, "document": {}} if isinstance(body, dict) and "document" in body else body
    errors = validate_against_schema(_schema_validator(schema), envelope)
    return Err(invalid_input(errors)) if errors else Ok(body)


def decode_request_target(target: str) -> tuple[tuple[str, ...], dict[str, str]]:
    """Split a request target into decoded path segments and the first value of each query field."""
    parts = urlsplit("//host/" + target.lstrip("/"))
    segments = tuple(unquote(part) for part in parts.path.split("/")[1:])
    try:
        fields = parse_qs(parts.query, keep_blank_values=True, max_num_fields=20)
    except ValueError:
        fields = {}
    return segments, {name: values[0] for name, values in fields.items()}


def error_json(error: AdminError) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    errors = [{"path": item.path, "message": item.message} for item in error.field_errors]
    value: dict[str, Any] = {"code": error.code, "message": error.message, "faults": errors}
    if error.current_version is not None:
        value["current_version"] = error.current_version
    return {"error": value}


def decode_entry_status(body: bytes) -> Result[Mapping[str, Any], str]:
    """Decode the body of an entry VM's status response."""
    match decode_json(body):
        case Ok(dict() as status):
            return Ok(status)
        case Ok(_):
            return Err("the status is no JSON object")
        case Err(error):
            return Err(f"the status {error.message}")
