"""Decoding of the platform API's JSON responses."""

import json
from typing import Any

from wagtailbay.store.models import Listing, StoredObject, VmList, VmRecord


def stored_object_from_json(item: dict[str, Any]) -> StoredObject:
    """Build a StoredObject from decoded JSON."""
    return StoredObject(item["key"], item["version"], item["value"])


def decode_object(body: bytes) -> StoredObject:
    """Decode the response to a read of one object."""
    return stored_object_from_json(json.loads(body))


def decode_listing(body: bytes) -> Listing:
    """Decode the response to a list or a watch."""
    data = json.loads(body)
    return Listing(
        data["revision"], tuple(stored_object_from_json(item) for item in data["objects"])
    )


def decode_vms(body: bytes) -> VmList:
    """Decode the response to a read of the VM list."""
    data = json.loads(body)
    return VmList(data["revision"], tuple(VmRecord(**item) for item in data["vms"]))
