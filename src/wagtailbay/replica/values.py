"""Conversion between attrs objects and the JSON values that are stored and exchanged."""

from typing import Any, TypeVar

from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

T = TypeVar("T")
_CONVERTER = Converter()
# Sets are unordered; sorting them gives equal values the same serialized form.
_CONVERTER.register_unstructure_hook_func(
    lambda model_class: getattr(model_class, "__origin__", model_class) is frozenset, sorted
)
# Exceptions raised when structuring a malformed value.
DECODE_ERRORS = (BaseValidationError, KeyError, TypeError, ValueError, AttributeError)


def to_value(model: Any) -> Any:
    """Convert an attrs object to a JSON value."""
    return _CONVERTER.unstructure(model)


def from_value(value: Any, model_class: type[T]) -> Result[T, str]:
    """Convert a JSON value to an attrs object, or return the reason why it is malformed."""
    try:
        return Ok(_CONVERTER.structure(value, model_class))
    except DECODE_ERRORS as error:
        return Err(f"{type(error).__name__}: {error}")
