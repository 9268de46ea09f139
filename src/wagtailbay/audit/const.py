"""Constants of the audit slice."""

from typing import Final

AUDIT_PREFIX: Final = "audit/"
# A record takes about 0.5 KB, so a full queue takes 0.5 MB. At 1,800 changes a day, it fills up
# after 13 hours without the store.
MAX_QUEUED_RECORDS: Final = 1_000
INITIAL_BACKOFF_S: Final = 0.25
MAX_BACKOFF_S: Final = 10.0
FLUSH_TIMEOUT_S: Final = 5.0
MAX_PAGE_RECORDS: Final = 200
# Each searched day takes one list call to the store.
MAX_DAYS_PER_PAGE: Final = 31
RETENTION_ACTOR: Final = "wagtailbay-admin"
# More than a year, so that an annual review covers the whole year.
DEFAULT_RETENTION_DAYS: Final = 400
# One list call to the store every ten minutes; searching all 120 days takes 20 hours.
RETENTION_INTERVAL_S: Final = 600.0
RETENTION_SEARCH_DAYS: Final = 120
MAX_DELETES_PER_STEP: Final = 500
