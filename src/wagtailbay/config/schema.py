"""Validate values against JSON schemas and report errors by field path."""

from collections.abc import Iterator
from typing import Any

from jsonschema import Draft202012Validator, ValidationError

from wagtailbay.config.errors import DocumentError, extend_path, truncate
from wagtailbay.config.values import check_values


def validate_against_schema(
    validator: Draft202012Validator, value: Any
) -> tuple[DocumentError, ...]:
    """Return all errors of a decoded value, each with its field path."""
    errors = check_values(value)
    if errors:
        return errors
    schema_errors = sorted(validator.iter_errors(value), key=lambda e: list(map(str, e.path)))
    return tuple(
        dict.fromkeys(
            error for schema_error in schema_errors for error in _convert_error(schema_error)
        )
    )


def _convert_error(schema_error: ValidationError) -> Iterator[DocumentError]:
    """Convert a schema error; an unknown or missing field is reported under its own path."""
    path = _field_path(schema_error.absolute_path)
    if schema_error.validator == "additionalProperties":
        for name in sorted(
            map(str, set(schema_error.instance) - set(schema_error.schema["properties"]))
        ):
            yield DocumentError(extend_path(path, name), "unknown field")
    elif schema_error.validator == "required":
        for name in schema_error.validator_value:
            if name not in schema_error.instance:
                yield DocumentError(extend_path(path, name), "is required")
    else:
        yield DocumentError(path or "(document)", truncate(schema_error.message))


def _field_path(parts: Any) -> str:
    """Format a path such as ``targets[2].slots``."""
    path = ""
    for part in parts:
        path = extend_path(path, part)
    return path
