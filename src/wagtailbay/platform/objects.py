"""Conversion of the platform's objects to the product's stored objects."""

from typing import Any

from wagtailbay.logs import log_event
from wagtailbay.platform.const import CONFIG_NAME, KIND_BY_PREFIX, PRODUCT_KIND_PREFIX
from wagtailbay.platform.decode import (
    decode_rollout_order,
    decode_routing_table,
    decode_target_entry,
)
from wagtailbay.replica import to_value
from wagtailbay.store import DECODE_ERRORS, StoredObject


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
        name, version = item["meta"]["name"], int(item["meta"]["revision"])
        value = _decode_value(prefix, name, item)
    except DECODE_ERRORS as error:
        log_event(
            "object_unusable",
            kind=kind_for_prefix(prefix),
            name=str(name)[:80],
            reason=str(error)[:200],
        )
        return None
    return StoredObject(prefix + name, version, value)


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
    deletion gets the revision of the whole response.
    """
    latest_events: dict[str, dict[str, Any]] = {}
    for event in events:
        latest_events[event["object"]["meta"]["name"]] = event
    objects: list[StoredObject] = []
    for name, event in latest_events.items():
        if event.get("deleted"):
            objects.append(StoredObject(prefix + name, revision, None))
        elif (stored_object := decode_stored_object(prefix, event["object"])) is not None:
            objects.append(stored_object)
    return objects
