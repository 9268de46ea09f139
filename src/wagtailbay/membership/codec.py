"""Encode the values of facts as JSON and decode them."""

import json
from typing import Any

from attrs import define, field, frozen
from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError
from cattrs.v import format_exception
from result import Err, Ok, Result

from wagtailbay.decoding import DECODE_ERRORS
from wagtailbay.membership.const import MAX_CACHED_FACT_BYTES, MAX_CACHED_FACTS
from wagtailbay.membership.strict import strict_converter


@frozen
class VmListEntry:
    """One VM of the platform's list; address is where other VMs connect to it."""

    vm: str
    address: str
    availability_zone: str
    state: str


@frozen
class VmListFact:
    """The platform's list of VMs, published by a VM that reads it from the store."""

    revision: int
    vms: tuple[VmListEntry, ...]


@define
class FactCodec:
    """JSON codec for the values of facts.

    Attributes:
        classes: The attrs class of each kind's values.
        encode_cache: The newest short values with their encoding, by object id, since each value is
            sent to all neighbours.
        decode_cache: The newest short values, by kind and encoding, since unchanged facts are
            received repeatedly.
        strict_kinds: Kinds whose values are decoded without conversions between types.
    """

    classes: dict[str, type] = field(factory=dict)
    converter: Converter = field(factory=lambda: Converter(forbid_extra_keys=False))
    encode_cache: dict[int, tuple[Any, bytes]] = field(factory=dict)
    decode_cache: dict[tuple[str, bytes], Any] = field(factory=dict)
    strict_kinds: set[str] = field(factory=set)
    strict_converter: Converter = field(factory=strict_converter)

    def register_fact(self, kind: str, attrs_class: type, *, is_strict: bool = False) -> None:
        """Register the class of a kind's values; raises ValueError if the kind has another one.

        Args:
            is_strict: Whether to reject values of other JSON types instead of converting them.
        """
        if is_strict:
            self.strict_kinds.add(kind)
        registered = self.classes.setdefault(kind, attrs_class)
        if registered is not attrs_class:
            raise ValueError(f"fact kind {kind!r} is already registered for {registered.__name__}")

    def encode(self, kind: str, value: Any) -> Result[bytes, str]:
        """Encode a value as compact JSON, or return why it cannot be encoded."""
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
        """Decode a value, or return why it cannot be decoded."""
        cls = self.classes.get(kind)
        if cls is None:
            return Err("the kind is not registered")
        cached = self.decode_cache.get((kind, data))
        if cached is not None:
            return Ok(cached)
        try:
            content = json.loads(data, parse_constant=_reject_constant)
            converter = self.strict_converter if kind in self.strict_kinds else self.converter
            value = converter.structure(content, cls)
        except BaseValidationError as error:
            return Err("; ".join(transform_error(error, format_exception=_describe)))
        except DECODE_ERRORS as error:
            return Err(f"{type(error).__name__}: {error}")
        if len(data) <= MAX_CACHED_FACT_BYTES:
            _add_to_cache(self.decode_cache, (kind, data), value)
        return Ok(value)


def _add_to_cache(cache: dict, key: Any, value: Any) -> None:
    """Add a value; the oldest one is evicted from a full cache."""
    if len(cache) >= MAX_CACHED_FACTS:
        del cache[next(iter(cache))]
    cache[key] = value


def _describe(error: BaseException, expected_type: type | None) -> str:
    """Describe one fault; the message of a validator names the field."""
    text = format_exception(error, expected_type)
    message = str(error.args[0]) if error.args else ""
    return f"{message}, {text}" if message and message not in text else text


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not a JSON number")


# The codec of all exchanges in this process; each slice registers its kinds on import.
DEFAULT_CODEC = FactCodec()


def register_fact(kind: str, attrs_class: type, *, is_strict: bool = False) -> None:
    """Register the class of a kind's values for all exchanges in this process."""
    DEFAULT_CODEC.register_fact(kind, attrs_class, is_strict=is_strict)


register_fact("vm_list", VmListFact)
