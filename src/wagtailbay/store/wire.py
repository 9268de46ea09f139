"""Decode the JSON answers of the platform's API."""

import json
from typing import Any

from wagtailbay.store.models import Listing, StoredObject, VmList, VmRecord


def stored_object_from_json(item: dict[str, Any]) -> StoredObject:
    """Convert a decoded JSON object."""
    return StoredObject(item["key"], item["version"], item["value"])


def decode_object(body: bytes) -> StoredObject:
    """Decode the answer to a read of one object."""
    return stored_object_from_json(json.loads(body))


def decode_listing(body: bytes) -> Listing:
    """Decode the answer to a list or a watch."""
    data = json.loads(body)
    return Listing(
        data["revision"], tuple(stored_object_from_json(item) for item in data["objects"])
    )


def decode_vms(body: bytes) -> VmList:
    """Decode the list of VMs."""
    data = json.loads(body)
    return VmList(data["revision"], tuple(VmRecord(**item) for item in data["vms"]))
