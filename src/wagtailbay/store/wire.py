"""Decoding of the platform API's JSON responses.

A malformed object is logged and left out; the others of its listing are kept.
"""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from result import Err

from wagtailbay.decoding import DECODE_ERRORS, parse_json, require_count, require_text
from wagtailbay.logs import log_event
from wagtailbay.store.models import Listing, StoredObject, VmList, VmRecord

T = TypeVar("T")


def stored_object_from_json(item: dict[str, Any]) -> StoredObject:
    """Build a StoredObject from decoded JSON; a malformed one raises one of DECODE_ERRORS."""
    return StoredObject(
        require_text(item["key"]), require_count(item["version"], minimum=1), item["value"]
    )


def vm_record_from_json(item: dict[str, Any]) -> VmRecord:
    """Build a VmRecord from decoded JSON; a malformed one raises one of DECODE_ERRORS."""
    return VmRecord(**{name: require_text(value) for name, value in item.items()})


def decode_object(body: bytes) -> StoredObject:
    """Decode the response to a read of one object."""
    return stored_object_from_json(_parse(body))


def decode_listing(body: bytes) -> Listing:
    """Decode the response to a list or a watch."""
    data = _parse(body)
    objects = tuple(_decode_each(data["objects"], stored_object_from_json))
    return Listing(require_count(data["revision"]), objects)


def decode_vms(body: bytes) -> VmList:
    """Decode the response to a read of the VM list."""
    data = _parse(body)
    vms = tuple(_decode_each(data["vms"], vm_record_from_json))
    return VmList(require_count(data["revision"]), vms)


def decode_version(body: bytes) -> int:
    """Decode the version in the response to a write."""
    return require_count(_parse(body)["version"])


def _parse(body: bytes) -> Any:
    parsed = parse_json(body)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value)
    return parsed.ok_value


def _decode_each(items: list[Any], decode: Callable[[dict[str, Any]], T]) -> Iterable[T]:
    """Decode the items of a list, and log and skip the malformed ones."""
    for item in items:
        try:
            yield decode(item)
        except DECODE_ERRORS as error:
            log_event("object_unusable", reason=f"{type(error).__name__}: {error}"[:200])
