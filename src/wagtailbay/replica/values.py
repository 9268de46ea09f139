"""Conversion between attrs objects and the JSON values that are stored and exchanged."""

from typing import Any, TypeVar

from cattrs import Converter
from result import Err, Ok, Result

from wagtailbay.decoding import DECODE_ERRORS

T = TypeVar("T")
# Reasons are logged; they quote the malformed value, which may be large.
MAX_REASON_LENGTH = 300
_CONVERTER = Converter()
# Sets are unordered; sorting them gives equal values the same serialized form.
_CONVERTER.register_unstructure_hook_func(
    lambda model_class: getattr(model_class, "__origin__", model_class) is frozenset, sorted
)


def to_value(model: Any) -> Any:
    """Convert an attrs object to a JSON value."""
    return _CONVERTER.unstructure(model)


def from_value(value: Any, model_class: type[T]) -> Result[T, str]:
    """Convert a JSON value to an attrs object, or return the reason why it is malformed."""
    try:
        return Ok(_CONVERTER.structure(value, model_class))
    except DECODE_ERRORS as error:
        return Err(f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH])
