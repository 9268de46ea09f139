"""Constants of the lease slice."""

from typing import Final

LEASE_KEY: Final = "leases/control"
RENEW_INTERVAL_S: Final = 2.0
TICK_INTERVAL_S: Final = 0.25
# A tick that comes late counts at most this much as time observed.
MAX_TICK_S: Final = 0.5
# Others may take a lease whose version they have seen unchanged for this long.
TAKE_AFTER_S: Final = 6.0
# A holder stops earlier than others may take over, counted from when it sent its last write.
HOLD_S: Final = 5.0
CONTENDERS: Final = 3
CONTENDER_STEP_S: Final = 2.0
# Time in which the store was not reached does not count as time observed.
REACHABLE_AGE_MS: Final = 3_000.0
