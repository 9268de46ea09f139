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
        encode_cache: The newest values with their encoding, by object id. Each fact is sent to all
            neighbours.
        decode_cache: The newest short values, by kind and encoding. Unchanged facts are sent again.
    """

    classes: dict[str, type] = field(factory=dict)
    converter: Converter = field(factory=lambda: Converter(forbid_extra_keys=False))
    encode_cache: dict[int, tuple[Any, bytes]] = field(factory=dict)
    decode_cache: dict[tuple[str, bytes], Any] = field(factory=dict)

    def register_fact(self, kind: str, attrs_class: type) -> None:
        """Register the class of a kind's values."""
        registered = self.classes.setdefault(kind, attrs_class)
        if registered is not attrs_class:
            raise ValueError(f"fact kind {kind!r} is already registered for {registered.__name__}")

    def encode(self, kind: str, value: Any) -> Result[bytes, str]:
        """Encode a value as compact JSON."""
        cls = self.classes.get(kind)
        if cls is None or not isinstance(value, cls):
            return Err(f"no class registered for {kind!r} fits {type(value).__name__}")
        cached = self.encode_cache.get(id(value))
        if cached is not None and cached[0] is value:
            return Ok(cached[1])
        unstructured = self.converter.unstructure(value, unstructure_as=cls)
        try:
            data = json.dumps(unstructured, separators=(",", ":"), allow_nan=False).encode()
        except (ValueError, TypeError) as error:
            return Err(f"{type(error).__name__}: {error}")
        if len(data) <= MAX_CACHED_FACT_BYTES:
            _add_to_cache(self.encode_cache, id(value), (value, data))
        return Ok(data)

    def decode(self, kind: str, data: bytes) -> Result[Any, str]:
        """Decode a value, or say why it cannot be."""
        cls = self.classes.get(kind)
        if cls is None:
            return Err("the kind is not registered")
        cached = self.decode_cache.get((kind, data))
        if cached is not None:
            return Ok(cached)
        try:
            value = self.converter.structure(json.loads(data, parse_constant=_reject_constant), cls)
        except DECODING_ERRORS as error:
            return Err(f"{type(error).__name__}: {error}")
        if len(data) <= MAX_CACHED_FACT_BYTES:
            _add_to_cache(self.decode_cache, (kind, data), value)
        return Ok(value)


def _add_to_cache(cache: dict, key: Any, value: Any) -> None:
    """Keep a value; the oldest one goes when there are too many."""
    if len(cache) >= MAX_CACHED_FACTS:
        del cache[next(iter(cache))]
    cache[key] = value


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is no JSON number")


# The kinds of all slices; a slice registers its own when it is imported.
DEFAULT_CODEC = FactCodec()


def register_fact(kind: str, attrs_class: type) -> None:
    """Register the class of a kind's values for all exchanges of this process."""
    DEFAULT_CODEC.register_fact(kind, attrs_class)


register_fact("vm_list", VmListFact)
