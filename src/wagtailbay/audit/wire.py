"""Keys and JSON values of audit records in the store."""

from datetime import UTC, datetime, timedelta
from typing import Any

from attrs import asdict, fields
from cattrs import BaseValidationError, Converter
from result import Err, Ok, Result

from wagtailbay.audit.const import AUDIT_PREFIX
from wagtailbay.audit.models import AuditRecord

converter = Converter()


def audit_key(record: AuditRecord) -> str:
    """Return ``audit/<time>-<id>``, which sorts by time and has a common prefix per UTC day."""
    when = datetime.fromtimestamp(record.when_unix_s, UTC)
    milliseconds = when.microsecond // 1000
    return f"{AUDIT_PREFIX}{when:%Y%m%dT%H%M%S}.{milliseconds:03d}Z-{record.record_id}"


def day_prefix(day: datetime) -> str:
    """Return the prefix of the keys of a UTC day."""
    return f"{AUDIT_PREFIX}{day:%Y%m%d}"


def parse_day(position: str) -> Result[datetime, str]:
    """Return the UTC day of a position, which is a key or day prefix without ``audit/``."""
    try:
        return Ok(datetime.strptime(position[:8], "%Y%m%d").replace(tzinfo=UTC))
    except ValueError:
        return Err(f"expected a position that an earlier page returned, got {position[:40]!r}")


def previous_day(day: datetime) -> datetime:
    """Return the day before."""
    return day - timedelta(days=1)


def encode_record(record: AuditRecord) -> dict[str, Any]:
    """Return the JSON value of a record."""
    return asdict(record)


def decode_record(value: Any) -> AuditRecord | None:
    """Return the record, or None if the value has a format that this release cannot decode.

    Unknown fields, which a later release may have added, are ignored.
    """
    if not isinstance(value, dict):
        return None
    known = {attribute.name for attribute in fields(AuditRecord)}
    try:
        return converter.structure({k: v for k, v in value.items() if k in known}, AuditRecord)
    except BaseValidationError:
        return None
