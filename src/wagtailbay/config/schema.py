"""Apply JSON schemas and report faults by the path of their field."""

from collections.abc import Iterator
from typing import Any

from jsonschema import Draft202012Validator, ValidationError

from wagtailbay.config.faults import DocumentFault, extend_path, shorten
from wagtailbay.config.values import check_values


def schema_faults(validator: Draft202012Validator, value: Any) -> tuple[DocumentFault, ...]:
    """Return every fault of a decoded value, each with the path of its field."""
    faults = check_values(value)
    if faults:
        return faults
    errors = sorted(validator.iter_errors(value), key=lambda e: list(map(str, e.path)))
    return tuple(dict.fromkeys(fault for error in errors for fault in _faults_of(error)))


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
