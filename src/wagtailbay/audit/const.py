"""Constants of the audit slice."""

from typing import Final

AUDIT_PREFIX: Final = "audit/"
# About 0.5 KB a record, so a full queue takes 0.5 MB and 1,800 changes a day fill it in 13 hours.
MAX_QUEUED_RECORDS: Final = 1_000
INITIAL_BACKOFF_S: Final = 0.25
MAX_BACKOFF_S: Final = 10.0
FLUSH_TIMEOUT_S: Final = 5.0
MAX_PAGE_RECORDS: Final = 200
# Each day searched costs one list call of the store.
MAX_DAYS_PER_PAGE: Final = 31
RETENTION_ACTOR: Final = "wagtailbay-admin"
# Longer than a year, so that a yearly review sees the whole of it.
DEFAULT_RETENTION_DAYS: Final = 400
# One list call of the store in ten minutes; a round of 120 days takes 20 hours.
RETENTION_INTERVAL_S: Final = 600.0
RETENTION_SEARCH_DAYS: Final = 120
MAX_DELETES_PER_STEP: Final = 500
