"""Convert the values of facts to JSON and back."""

import json
from typing import Any

from attrs import define, field, frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

from wagtailbay.membership.const import MAX_CACHED_FACT_BYTES, MAX_CACHED_FACTS

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
    """Know the attrs class of each kind of fact.

    Attributes:
        encoded: The newest values with their bytes, by object, since each goes to all neighbours.
        decoded: The values of the newest short texts, since unchanged facts are sent again.
    """

    classes: dict[str, type] = field(factory=dict)
    converter: Converter = field(factory=lambda: Converter(forbid_extra_keys=False))
    encoded: dict[int, tuple[Any, bytes]] = field(factory=dict)
    decoded: dict[tuple[str, bytes], Any] = field(factory=dict)

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
        kept = self.encoded.get(id(value))
        if kept is not None and kept[0] is value:
            return Ok(kept[1])
        plain = self.converter.unstructure(value, unstructure_as=cls)
        try:
            data = json.dumps(plain, separators=(",", ":"), allow_nan=False).encode()
        except (ValueError, TypeError) as error:
            return Err(f"{type(error).__name__}: {error}")
        if len(data) <= MAX_CACHED_FACT_BYTES:
            _keep(self.encoded, id(value), (value, data))
        return Ok(data)

    def decode(self, kind: str, data: bytes) -> Result[Any, str]:
        """Decode a value, or say why it cannot be."""
        cls = self.classes.get(kind)
        if cls is None:
            return Err("the kind is not registered")
        kept = self.decoded.get((kind, data))
        if kept is not None:
            return Ok(kept)
        try:
            value = self.converter.structure(json.loads(data, parse_constant=_refuse), cls)
        except DECODING_ERRORS as error:
            return Err(f"{type(error).__name__}: {error}")
        if len(data) <= MAX_CACHED_FACT_BYTES:
            _keep(self.decoded, (kind, data), value)
        return Ok(value)


def _keep(kept: dict, key: Any, value: Any) -> None:
    """Keep a value; the oldest one goes when there are too many."""
    if len(kept) >= MAX_CACHED_FACTS:
        del kept[next(iter(kept))]
    kept[key] = value


def _refuse(constant: str) -> None:
    raise ValueError(f"{constant} is no JSON number")


# The kinds of all slices; a slice registers its own when it is imported.
DEFAULT_CODEC = FactCodec()


def register_fact(kind: str, attrs_class: type) -> None:
    """Register the class of a kind's values for all exchanges of this process."""
    DEFAULT_CODEC.register_fact(kind, attrs_class)


register_fact("vm_list", VmListFact)
