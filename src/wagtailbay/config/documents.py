"""Validate documents and convert them to models."""

import json
from functools import cache
from importlib import resources
from typing import Any

from cattrs import Converter
from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from wagtailbay.config.checks import check_fleet, check_service
from wagtailbay.config.const import FLEET_NAME
from wagtailbay.config.faults import DocumentFault
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.config.schema import schema_faults

__all__ = ["DocumentFault", "document_name", "parse_fleet", "parse_named", "parse_service"]

converter = Converter(forbid_extra_keys=True)

Faults = tuple[DocumentFault, ...]


@cache
def _validator(name: str) -> Draft202012Validator:
    source = resources.files("wagtailbay.config").joinpath(f"{name}.schema.json").read_text()
    return Draft202012Validator(json.loads(source))


def parse_service(document: Any) -> Result[ServiceDocument, Faults]:
    """Validate a decoded service document; returns the model or every fault."""
    faults = schema_faults(_validator("service"), document)
    if faults:
        return Err(faults)
    model = converter.structure(document, ServiceDocument)
    faults = check_service(model)
    return Err(faults) if faults else Ok(model)


def parse_fleet(document: Any) -> Result[FleetDocument, Faults]:
    """Validate a decoded fleet document; returns the model or every fault."""
    faults = schema_faults(_validator("fleet"), document)
    if faults:
        return Err(faults)
    model = converter.structure(document, FleetDocument)
    faults = check_fleet(model)
    return Err(faults) if faults else Ok(model)


def parse_named(name: str, document: Any) -> Result[ServiceDocument | FleetDocument, Faults]:
    """Validate the document stored under a name: ``fleet`` or that of a service."""
    if name == FLEET_NAME:
        return parse_fleet(document)
    parsed = parse_service(document)
    if isinstance(parsed, Ok) and parsed.ok_value.service != name:
        message = f"must equal the document's name {name!r}, got {parsed.ok_value.service!r}"
        return Err((DocumentFault("service", message),))
    return parsed


def document_name(document: Any) -> Result[str, DocumentFault]:
    """Return the name under which a decoded document is stored."""
    if not isinstance(document, dict):
        return Err(DocumentFault("(document)", "must be a table of fields"))
    if "service" not in document:
        if "max_vms" in document or "availability_zones" in document:
            return Ok(FLEET_NAME)
        return Err(DocumentFault("service", "is required; a fleet document has max_vms instead"))
    name = document["service"]
    if not isinstance(name, str) or not name:
        return Err(DocumentFault("service", "must be a text of 1 to 64 characters"))
    return Ok(name)
