"""Validate documents and convert them to models."""

import json
from functools import cache
from importlib import resources
from typing import Any

from attrs import frozen
from cattrs import Converter
from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from wagtailbay.config.checks import check_fleet, check_service
from wagtailbay.config.faults import DocumentFault
from wagtailbay.config.models import FleetDocument, ServiceDocument

__all__ = ["DocumentFault", "parse_fleet", "parse_service"]

converter = Converter(forbid_extra_keys=True)


@frozen
class _Schema:
    validator: Draft202012Validator

    def faults(self, document: Any) -> tuple[DocumentFault, ...]:
        """Return one fault for each violation, with the path of its field."""
        errors = sorted(self.validator.iter_errors(document), key=lambda e: list(map(str, e.path)))
        return tuple(DocumentFault(_field_path(e.absolute_path), e.message) for e in errors)


def _field_path(parts: Any) -> str:
    """Format a path such as ``targets[2].slots``."""
    text = ""
    for part in parts:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "(document)"


@cache
def _schema(name: str) -> _Schema:
    source = resources.files("wagtailbay.config").joinpath(f"{name}.schema.json").read_text()
    return _Schema(Draft202012Validator(json.loads(source)))


def parse_service(document: Any) -> Result[ServiceDocument, tuple[DocumentFault, ...]]:
    """Validate a decoded service document; returns the model or every fault."""
    faults = _schema("service").faults(document)
    if faults:
        return Err(faults)
    model = converter.structure(document, ServiceDocument)
    faults = check_service(model)
    return Err(faults) if faults else Ok(model)


def parse_fleet(document: Any) -> Result[FleetDocument, tuple[DocumentFault, ...]]:
    """Validate a decoded fleet document; returns the model or every fault."""
    faults = _schema("fleet").faults(document)
    if faults:
        return Err(faults)
    model = converter.structure(document, FleetDocument)
    faults = check_fleet(model)
    return Err(faults) if faults else Ok(model)
