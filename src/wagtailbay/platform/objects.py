"""Conversion of the platform's objects to the product's stored objects."""

from typing import Any

from wagtailbay.decoding import DECODE_ERRORS, require_count, require_text
from wagtailbay.logs import log_event
from wagtailbay.platform.const import CONFIG_NAME, KIND_BY_PREFIX, PRODUCT_KIND_PREFIX
from wagtailbay.platform.decode import (
    decode_rollout_order,
    decode_routing_table,
    decode_target_entry,
    require_address,
)
from wagtailbay.replica import to_value
from wagtailbay.store import MAX_REVISION, StoredObject, VmRecord


def kind_for_prefix(prefix: str) -> str:
    """Return the platform's object kind for one of the product's key prefixes."""
    return KIND_BY_PREFIX.get(prefix) or PRODUCT_KIND_PREFIX + prefix.rstrip("/")


def split_object_key(key: str) -> tuple[str, str]:
    """Split an object key into the platform's kind and name."""
    prefix, _, name = key.partition("/")
    return kind_for_prefix(prefix + "/"), name


def decode_stored_object(prefix: str, item: dict[str, Any]) -> StoredObject | None:
    """Convert an object of the platform; log it and return None if it is malformed."""
    name = "?"
    try:
        name, version = _decode_identity(item)
        value = _decode_value(prefix, name, item)
    except DECODE_ERRORS as error:
        log_event(
            "object_unusable",
            kind=kind_for_prefix(prefix),
            name=str(name)[:80],
            reason=f"{type(error).__name__}: {error}"[:200],
        )
        return None
    return StoredObject(prefix + name, version, value)


def decode_vm_record(item: dict[str, Any]) -> tuple[VmRecord, int] | None:
    """Return a registered VM and the version of its object; log it and return None if malformed."""
    try:
        name, version = _decode_identity(item)
        spec = item["spec"]
        address, zone = require_address(spec["address"]), require_text(spec["zone"])
    except DECODE_ERRORS as error:
        log_event("vm_record_unusable", reason=f"{type(error).__name__}: {error}"[:200])
        return None
    return VmRecord(name, address, zone, "live"), version


def _decode_identity(item: dict[str, Any]) -> tuple[str, int]:
    """Return the name and the version of an object; raise one of DECODE_ERRORS if malformed."""
    meta = item["meta"]
    return require_text(meta["name"]), require_count(meta["revision"], 1, MAX_REVISION)


def _decode_value(prefix: str, name: str, item: dict[str, Any]) -> Any:
    match prefix:
        case "routing/":
            if name != CONFIG_NAME:
                raise ValueError("the object is not the active configuration")
            return to_value(decode_routing_table(item["spec"]))
        case "targets/":
            return to_value(decode_target_entry(item, name))
        case "rollouts/":
            return to_value(decode_rollout_order(item))
        case "evacuations/":
            return {}
    return item["spec"]


def decode_watch_events(
    prefix: str, events: list[dict[str, Any]], revision: int
) -> list[StoredObject]:
    """Convert the last watch event of each object.

    The event of a deletion may still carry the revision of the object's last change, so the
    deletion gets the revision of the whole response. An event that does not name its object is
    logged and skipped. An object that has become malformed counts as deleted, as in a listing;
    the active configuration stays in force in that case.
    """
    latest_objects: dict[str, StoredObject] = {}
    for event in events:
        try:
            item = event["object"]
            name, version = _decode_identity(item)
            is_deleted = bool(event.get("deleted"))
        except DECODE_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"[:200]
            log_event("event_unusable", kind=kind_for_prefix(prefix), reason=reason)
            continue
        stored_object = None if is_deleted else decode_stored_object(prefix, item)
        if stored_object is None:
            stored_object = StoredObject(prefix + name, revision if is_deleted else version, None)
        latest_objects[name] = stored_object
    return list(latest_objects.values())
