"""Constants of the lease slice."""

from typing import Final

LEASE_KEY: Final = "leases/control"
RENEW_INTERVAL_S: Final = 2.0
TICK_INTERVAL_S: Final = 0.25
# A tick that comes late counts at most this much as time observed.
MAX_COUNTED_TICK_S: Final = 0.5
# Others may take a lease whose version they have seen unchanged for this long.
LEASE_DURATION_S: Final = 6.0
# A holder stops earlier than others may take over, counted from when it sent its last write.
RENEW_DEADLINE_S: Final = 5.0
MAX_CANDIDATES: Final = 3
RANK_DELAY_S: Final = 2.0
# Time in which the store was not reached does not count as time observed.
MAX_REPLICA_AGE_MS: Final = 3_000.0
