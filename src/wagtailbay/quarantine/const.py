"""Constants of the quarantine slice."""

from typing import Final

CRASH_KIND: Final = "crash"
CRASHES_TO_REFUSE: Final = 2
QUARANTINE_TERM_S: Final = 600.0
# Copies of a request that break on one target within this time saw the same crash.
CRASH_DEDUPLICATION_S: Final = 2.0
# Hold where two requests crashed the same targets and one of them is innocent.
TIED_QUARANTINE_S: Final = 5.0
# Longest wait of a suspect for another one that runs on this VM.
MAX_SUSPECT_WAIT_S: Final = 1.0
# The facts of other VMs are counted again after this time; 0.1 s let a third target crash by a
# resend to another VM right after the second crash.
COUNT_INTERVAL_S: Final = 0.02
MAX_OWN_SUSPECTS: Final = 1_000
# A dying process may close its connections shortly before its listener.
CONNECT_DELAYS_S: Final = (0.0, 0.03, 0.1)
CONNECT_TIMEOUT_MS: Final = 200
MAX_DESCRIPTION_LENGTH: Final = 120
