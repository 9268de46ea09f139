"""Crash counts as they are kept in the store, and their encoding."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen
from result import Err

from wagtailbay.decoding import DECODE_ERRORS
from wagtailbay.logs import log_event
from wagtailbay.replica import from_value, to_value


@frozen
class CrashRecord:
    """Crashes of one request over the fleet.

    Attributes:
        targets: Target name of each crash; a target may occur several times.
        description: Method and path without query, shown in the status.
        expires_unix_ms: When the crashes no longer count.
    """

    targets: tuple[str, ...]
    description: str
    expires_unix_ms: int


CrashRecords = Mapping[str, CrashRecord]


def encode_records(records: CrashRecords) -> dict[str, Any]:
    """Return the stored value of records by fingerprint."""
    return {"requests": {fingerprint: to_value(record) for fingerprint, record in records.items()}}


def decode_records(value: Any) -> dict[str, CrashRecord]:
    """Return the records by fingerprint; malformed ones are logged and left out."""
    try:
        encoded = dict(value["requests"])
    except DECODE_ERRORS as error:
        log_event("crashes_unusable", reason=f"{type(error).__name__}: {error}"[:200])
        return {}
    records: dict[str, CrashRecord] = {}
    for fingerprint, item in encoded.items():
        structured = from_value(item, CrashRecord)
        if isinstance(structured, Err):
            log_event("crashes_unusable", request=fingerprint[:80], reason=structured.err_value)
            continue
        records[fingerprint] = structured.ok_value
    return records
