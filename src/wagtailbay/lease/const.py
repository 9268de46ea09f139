"""Timing constants of the lease."""

from typing import Final

LEASE_KEY: Final = "leases/control"
RENEW_INTERVAL_S: Final = 2.0
TICK_INTERVAL_S: Final = 0.25
# A delayed tick adds at most this much to the time for which the lease was seen unchanged.
MAX_COUNTED_TICK_S: Final = 0.5
# A candidate may take over a lease whose version it has seen unchanged for this long.
LEASE_DURATION_S: Final = 6.0
# The holder stops earlier than others may take over, counted from when it sent its last write.
RENEW_DEADLINE_S: Final = 5.0
MAX_CANDIDATES: Final = 3
RANK_DELAY_S: Final = 2.0
# Time with an older replica does not count: the holder may be unable to reach the store too.
MAX_REPLICA_AGE_MS: Final = 3_000.0
