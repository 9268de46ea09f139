"""Convert the values of facts to JSON and back."""

import json
from typing import Any

from attrs import define, field, frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

DECODING_ERRORS = (
    BaseValidationError,
    ValueError,
    TypeError,
    LookupError,
    ArithmeticError,
    AttributeError,
    RecursionError,
)


@frozen
class VmListEntry:
    """Hold one VM of the platform's list; address is where other VMs connect."""

    vm: str
    address: str
    availability_zone: str
    state: str


@frozen
class VmListFact:
    """Pass on the platform's list of VMs from a VM that reads it."""

    revision: int
    vms: tuple[VmListEntry, ...]


@define
class FactCodec:
    """Know the attrs class of each kind of fact."""

    classes: dict[str, type] = field(factory=dict)
    converter: Converter = field(factory=lambda: Converter(forbid_extra_keys=False))

    def register_fact(self, kind: str, attrs_class: type) -> None:
        """Register the class of a kind's values."""
        known = self.classes.setdefault(kind, attrs_class)
        if known is not attrs_class:
            raise ValueError(f"fact kind {kind!r} is already registered for {known.__name__}")

    def encode(self, kind: str, value: Any) -> Result[bytes, str]:
        """Encode a value as compact JSON."""
        cls = self.classes.get(kind)
        if cls is None or not isinstance(value, cls):
            return Err(f"no class registered for {kind!r} fits {type(value).__name__}")
        plain = self.converter.unstructure(value, unstructure_as=cls)
        try:
            return Ok(json.dumps(plain, separators=(",", ":"), allow_nan=False).encode())
        except (ValueError, TypeError) as error:
            return Err(f"{type(error).__name__}: {error}")

    def decode(self, kind: str, data: bytes) -> Result[Any, str]:
        """Decode a value, or say why it cannot be."""
        cls = self.classes.get(kind)
        if cls is None:
            return Err("the kind is not registered")
        try:
            return Ok(self.converter.structure(json.loads(data, parse_constant=_refuse), cls))
        except DECODING_ERRORS as error:
            return Err(f"{type(error).__name__}: {error}")


def _refuse(constant: str) -> None:
    raise ValueError(f"{constant} is no JSON number")


# The kinds of all slices; a slice registers its own when it is imported.
DEFAULT_CODEC = FactCodec()


def register_fact(kind: str, attrs_class: type) -> None:
    """Register the class of a kind's values for all exchanges of this process."""
    DEFAULT_CODEC.register_fact(kind, attrs_class)


register_fact("vm_list", VmListFact)
