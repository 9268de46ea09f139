"""Settings of recorded histories and their faults."""

from typing import Final

HISTORY_DURATION_S: Final = 18.0
RECORDS_CALLERS: Final = 8
CATALOG_CALLERS: Final = 14
EXPORTS_CALLERS: Final = 8
MEAN_CALLER_PAUSE_S: Final = 0.05
MEAN_CRASH_PAUSE_S: Final = 0.7
MOVE_READ_INTERVAL_S: Final = 0.2
REQUEST_TIMEOUT_MS: Final = 4_000
FAULT_INTERVAL_S: Final = (0.8, 2.0)
MAX_STORE_FAULT_S: Final = 4.0
# No fault starts in this last part of a history, so that the system can recover.
RECOVERY_S: Final = 4.0
# Longer than the bounds for keys and revisions, so that an isolated VM must react in time.
MAX_LINK_FAULT_S: Final = 9.0
# Link faults end this long before the end of a history.
LINK_FAULT_MARGIN_S: Final = 2.0
READY_TIMEOUT_S: Final = 4.0
ADMIN_TIMEOUT_MS: Final = 6_000
WITHDRAWAL_TIMEOUT_S: Final = 8.0
STORE_TIMEOUT_MS: Final = 2_000
# Probability that two faults start at the same time.
FAULT_PAIR_PROBABILITY: Final = 0.3
# The VMs use TLS in histories whose seed is a multiple of this.
TLS_SEED_INTERVAL: Final = 3
