"""Conditional writes to the store that resolve unknown outcomes."""

from typing import Any

from result import Err, Ok, Result

from wagtailbay.admin.const import MAX_WRITE_ATTEMPTS
from wagtailbay.admin.models import AdminError, outcome_unknown, store_unavailable, version_conflict
from wagtailbay.store import ObjectStore, OutcomeUnknown, StoreUnavailable, VersionConflict


async def write_object(
    store: ObjectStore, key: str, value: Any, expected_version: int
) -> Result[int, AdminError]:
    """Write an object, or delete it if value is None, and return the new version.

    A write whose response was lost is resolved by reading the object back. If it still has the
    expected version, the write is repeated; as it is conditional, it cannot take effect twice.
    """
    reason = ""
    for _ in range(MAX_WRITE_ATTEMPTS):
        match await _write(store, key, value, expected_version):
            case Ok(version):
                return Ok(version)
            case Err(VersionConflict(current_version=current)) if not reason:
                return Err(version_conflict(key, expected_version, current))
            case Err(StoreUnavailable(message=message)) if not reason:
                return Err(store_unavailable(message))
            case Err(OutcomeUnknown(message=message)) if not reason:
                reason = message
        resolved = await _read_back(store, key, value, expected_version, reason)
        if resolved is not None:
            return resolved
    return Err(outcome_unknown(key, reason))


async def _write(store: ObjectStore, key: str, value: Any, expected_version: int) -> Any:
    if value is None:
        return await store.delete(key, expected_version)
    return await store.put(key, value, expected_version)


async def _read_back(
    store: ObjectStore, key: str, value: Any, expected_version: int, reason: str
) -> Result[int, AdminError] | None:
    """Read the object and return the outcome of a write, or None if the object is unchanged."""
    read = await store.get(key)
    if isinstance(read, Err):
        return Err(outcome_unknown(key, f"{reason}; then {read.err_value.message}"))
    stored = read.ok_value
    current = 0 if stored is None else stored.version
    if current == expected_version:
        return None
    if stored is None and value is None:
        # A read does not return the revision of the deletion, so the deleted version is reported.
        return Ok(expected_version)
    if stored is not None and stored.value == value:
        return Ok(current)
    return Err(version_conflict(key, expected_version, current))
