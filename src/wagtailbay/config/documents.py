"""Validate documents and convert them to models."""

import json
from functools import cache
from importlib import resources
from typing import Any

from cattrs import Converter
from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from wagtailbay.config.checks import check_fleet, check_service
from wagtailbay.config.const import FLEET_DOCUMENT_NAME
from wagtailbay.config.errors import DocumentError
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.config.schema import validate_against_schema

__all__ = ["DocumentError", "document_name", "parse_fleet", "parse_document", "parse_service"]

converter = Converter(forbid_extra_keys=True)

DocumentErrors = tuple[DocumentError, ...]


@cache
def _validator(name: str) -> Draft202012Validator:
    source = resources.files("wagtailbay.config").joinpath(f"{name}.schema.json").read_text()
    return Draft202012Validator(json.loads(source))


def parse_service(document: Any) -> Result[ServiceDocument, DocumentErrors]:
    """Validate a decoded service document; return the model or all errors."""
    errors = validate_against_schema(_validator("service"), document)
    if errors:
        return Err(errors)
    model = converter.structure(document, ServiceDocument)
    errors = check_service(model)
    return Err(errors) if errors else Ok(model)


def parse_fleet(document: Any) -> Result[FleetDocument, DocumentErrors]:
    """Validate a decoded fleet document; return the model or all errors."""
    errors = validate_against_schema(_validator("fleet"), document)
    if errors:
        return Err(errors)
    model = converter.structure(document, FleetDocument)
    errors = check_fleet(model)
    return Err(errors) if errors else Ok(model)


def parse_document(
    name: str, document: Any
) -> Result[ServiceDocument | FleetDocument, DocumentErrors]:
    """Validate the document stored under a name, which is ``fleet`` or a service name."""
    if name == FLEET_DOCUMENT_NAME:
        return parse_fleet(document)
    parsed = parse_service(document)
    if isinstance(parsed, Ok) and parsed.ok_value.service != name:
        message = f"must equal the document's name {name!r}, got {parsed.ok_value.service!r}"
        return Err((DocumentError("service", message),))
    return parsed


def document_name(document: Any) -> Result[str, DocumentError]:
    """Determine the name under which a decoded document is stored."""
    if not isinstance(document, dict):
        return Err(DocumentError("(document)", "must be a table of fields"))
    if "service" not in document:
        if "max_vms" in document or "availability_zones" in document:
            return Ok(FLEET_DOCUMENT_NAME)
        return Err(DocumentError("service", "is required; a fleet document has max_vms instead"))
    name = document["service"]
    if not isinstance(name, str) or not name:
        return Err(DocumentError("service", "must be a text of 1 to 64 characters"))
    return Ok(name)
