"""Paginated reading of the audit trail, newest records first."""

from datetime import UTC, datetime

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.audit.const import AUDIT_PREFIX, MAX_DAYS_PER_PAGE
from wagtailbay.audit.models import AuditPage
from wagtailbay.audit.wire import day_prefix, decode_record, parse_day, previous_day
from wagtailbay.store import ObjectStore, StoreUnavailable


@frozen
class AuditReader:
    """Reads records one UTC day at a time, so that a page lists only the days that it covers."""

    store: ObjectStore

    async def read(
        self, limit: int, before: str | None, now_unix_s: float
    ) -> Result[AuditPage, StoreUnavailable | str]:
        """Return a page of up to ``limit`` records that are older than a position.

        Args:
            limit: The maximum number of records.
            before: The ``before`` position of the previous page, None for the newest records.
            now_unix_s: The current time.

        Returns:
            The page, the store's error, or a message about a malformed position.
        """
        # The clocks of other machines may be ahead, so the search starts one hour in the future.
        first_day = (
            parse_day(before) if before else Ok(datetime.fromtimestamp(now_unix_s + 3600, UTC))
        )
        if isinstance(first_day, Err):
            return first_day
        day, entries = first_day.ok_value, []
        for _ in range(MAX_DAYS_PER_PAGE):
            listing = await self.store.list([day_prefix(day)])
            if isinstance(listing, Err):
                return listing
            objects = sorted(listing.ok_value.objects, key=lambda o: o.key, reverse=True)
            for stored in objects:
                name = stored.key.removeprefix(AUDIT_PREFIX)
                # A position without a time includes the whole day: ``~`` sorts after all digits.
                if before is not None and name >= (before if len(before) > 8 else before + "~"):
                    continue
                if len(entries) == limit:
                    return Ok(AuditPage(tuple(record for _, record in entries), entries[-1][0]))
                record = decode_record(stored.value)
                if record is not None:
                    entries.append((name, record))
            if day.year <= 1970:
                return Ok(AuditPage(tuple(record for _, record in entries), None))
            day = previous_day(day)
        return Ok(AuditPage(tuple(record for _, record in entries), f"{day:%Y%m%d}"))
