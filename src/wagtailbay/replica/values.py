"""Convert attrs objects to the JSON values that replicas keep and VMs exchange, and back."""

from typing import Any, TypeVar

from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

T = TypeVar("T")
_CONVERTER = Converter()
# Sets have no order of their own; a sorted list makes equal values equal texts.
_CONVERTER.register_unstructure_hook_func(
    lambda model_class: getattr(model_class, "__origin__", model_class) is frozenset, sorted
)
# What structuring raises for a value of another form.
DECODE_ERRORS = (BaseValidationError, KeyError, TypeError, ValueError, AttributeError)


def to_value(model: Any) -> Any:
    """Return the JSON value of an attrs object."""
    return _CONVERTER.unstructure(model)


def from_value(value: Any, model_class: type[T]) -> Result[T, str]:
    """Return the attrs object of a JSON value, or why it has none."""
    try:
        return Ok(_CONVERTER.structure(value, model_class))
    except DECODE_ERRORS as error:
        return Err(f"{type(error).__name__}: {error}")
