"""Validate documents and convert them to models."""

import json
from collections.abc import Iterator
from functools import cache
from importlib import resources
from typing import Any

from attrs import frozen
from cattrs import Converter
from jsonschema import Draft202012Validator, ValidationError
from result import Err, Ok, Result

from wagtailbay.config.checks import check_fleet, check_service
from wagtailbay.config.const import FLEET_NAME
from wagtailbay.config.faults import DocumentFault, extend_path, shorten
from wagtailbay.config.models import FleetDocument, ServiceDocument
from wagtailbay.config.values import check_values

__all__ = ["DocumentFault", "document_name", "parse_fleet", "parse_named", "parse_service"]

converter = Converter(forbid_extra_keys=True)

Faults = tuple[DocumentFault, ...]


@frozen
class _Schema:
    validator: Draft202012Validator

    def faults(self, document: Any) -> Faults:
        """Return one fault for each violation, with the path of its field."""
        errors = sorted(self.validator.iter_errors(document), key=lambda e: list(map(str, e.path)))
        return tuple(dict.fromkeys(fault for e in errors for fault in _faults_of(e)))


def _faults_of(error: ValidationError) -> Iterator[DocumentFault]:
    """Convert a schema error; unknown and missing fields are named themselves, not their parent."""
    path = _field_path(error.absolute_path)
    if error.validator == "additionalProperties":
        for name in sorted(map(str, set(error.instance) - set(error.schema["properties"]))):
            yield DocumentFault(extend_path(path, name), "unknown field")
    elif error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield DocumentFault(extend_path(path, name), "is required")
    else:
        yield DocumentFault(path or "(document)", shorten(error.message))


def _field_path(parts: Any) -> str:
    """Format a path such as ``targets[2].slots``."""
    path = ""
    for part in parts:
        path = extend_path(path, part)
    return path


@cache
def _schema(name: str) -> _Schema:
    source = resources.files("wagtailbay.config").joinpath(f"{name}.schema.json").read_text()
    return _Schema(Draft202012Validator(json.loads(source)))


def parse_service(document: Any) -> Result[ServiceDocument, Faults]:
    """Validate a decoded service document; returns the model or every fault."""
    faults = check_values(document) or _schema("service").faults(document)
    if faults:
        return Err(faults)
    model = converter.structure(document, ServiceDocument)
    faults = check_service(model)
    return Err(faults) if faults else Ok(model)


def parse_fleet(document: Any) -> Result[FleetDocument, Faults]:
    """Validate a decoded fleet document; returns the model or every fault."""
    faults = check_values(document) or _schema("fleet").faults(document)
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
