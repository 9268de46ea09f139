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
# Longer than the bounds of keys and revisions, so that a VM that is cut off must act on it.
LONGEST_CUT_S: Final = 9.0
# Cuts end this long before the end of a history.
LAST_CUT_S: Final = 2.0
READY_WITHIN_S: Final = 4.0
ADMIN_TIMEOUT_MS: Final = 6_000
WITHDRAWAL_WATCH_S: Final = 8.0
STORE_TIMEOUT_MS: Final = 2_000
# Two faults start at the same time in this part of the cases.
PAIR_PROBABILITY: Final = 0.3
# The VMs use TLS in the histories whose seed is a multiple of this.
TLS_EVERY_SEEDS: Final = 3
