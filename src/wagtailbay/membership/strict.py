"""Decode JSON without conversions between types."""

from collections.abc import Callable
from typing import Any, get_args, get_origin

from cattrs import Converter


def strict_converter() -> Converter:
    """Return a converter that rejects values of another JSON type than the field's.

    By default cattrs reads 1.7 as the integer 1, any text as true and a text as a tuple of its
    characters.
    """
    converter = Converter(forbid_extra_keys=False)
    for kind in (int, bool, str):
        converter.register_structure_hook(kind, _require_type)
    converter.register_structure_hook_factory(
        _is_uniform_tuple, lambda cls: _tuple_hook(converter, get_args(cls)[0])
    )
    return converter


def _require_type(value: Any, kind: type) -> Any:
    # bool is a subclass of int.
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, got {type(value).__name__}")
    return value


def _is_uniform_tuple(cls: Any) -> bool:
    arguments = get_args(cls)
    return get_origin(cls) is tuple and len(arguments) == 2 and arguments[1] is Ellipsis


def _tuple_hook(converter: Converter, item: type) -> Callable[[Any, Any], tuple]:
    def structure(value: Any, _: Any) -> tuple:
        if type(value) is not list:
            raise TypeError(f"expected a list, got {type(value).__name__}")
        return tuple(converter.structure(part, item) for part in value)

    return structure
