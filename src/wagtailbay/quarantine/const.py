"""Constants of the quarantine slice."""

from typing import Final

CRASH_KIND: Final = "crash"
CRASHES_TO_REFUSE: Final = 2
QUARANTINE_TERM_S: Final = 600.0
# Failures of the same request on one target within this time count as one crash.
CRASH_DEDUPLICATION_S: Final = 2.0
# Refusal time of requests whose crashed targets are identical, since one of them may be harmless.
TIED_QUARANTINE_S: Final = 5.0
# The refusal time is multiplied by this with each further crash.
TIED_QUARANTINE_FACTOR: Final = 4.0
# Maximum wait of a suspect for another suspect that is running on this VM.
MAX_SUSPECT_WAIT_S: Final = 1.0
# Interval at which the facts of other VMs are counted. With 0.1 s, a request that was resent to
# another VM right after its second crash could crash a third target.
COUNT_INTERVAL_S: Final = 0.02
MAX_OWN_SUSPECTS: Final = 1_000
# A terminating process may close its connections shortly before its listening socket.
CONNECT_DELAYS_S: Final = (0.0, 0.03, 0.1)
CONNECT_TIMEOUT_MS: Final = 200
CRASH_PREFIX: Final = "crashes/"
CRASH_RECORDS_KEY: Final = "crashes/fleet"
# The newest and most frequent crashes are stored, a few hundred bytes each; the store's limit for
# an object is 1 MB.
MAX_STORED_REQUESTS: Final = 500
RECORD_INTERVAL_S: Final = 1.0
COLLECT_CRASHES_S: Final = 0.05
# A VM writes if the VMs before it in the order have not.
WRITER_STAGGER_S: Final = 1.0
MAX_WRITE_DELAY_S: Final = 5.0
# Requests that were answered stay in the store for this long, so that several share a write.
CLEANUP_DELAY_S: Final = 10.0
MAX_DESCRIPTION_LENGTH: Final = 120
