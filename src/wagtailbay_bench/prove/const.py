"""Constants of the proofs."""

from typing import Final

HISTORY_DURATION_S: Final = 18.0
CALLERS: Final = 8
MOVE_CALLERS: Final = 14
EXPORT_CALLERS: Final = 8
CALLER_PAUSE_S: Final = 0.05
CRASH_PAUSE_S: Final = 0.7
MOVE_READ_INTERVAL_S: Final = 0.2
REQUEST_TIMEOUT_MS: Final = 4_000
FAULT_INTERVAL_S: Final = (0.8, 2.0)
LONGEST_OUTAGE_S: Final = 4.0
# The last faults are followed by this much quiet time, in which everything must recover.
SETTLE_S: Final = 4.0
