"""Key prefixes and timing of the replica."""

from typing import Final

REPLICATED_PREFIXES: Final = ("documents/", "keys/", "ledgers/", "moves/", "leases/", "crashes/")
# A watch returns at least this often, which bounds the age of a watching VM's replica.
WATCH_TIMEOUT_MS: Final = 1_000
STALE_AFTER_S: Final = 3.0
LIST_INTERVAL_S: Final = 1.0
MAX_BACKOFF_S: Final = 10.0

# With one watch for each prefix, watches last longer to keep the number of store calls low.
PREFIX_WATCH_TIMEOUT_MS: Final = 2_000
# A watch whose connection has gone silent is noticed after its timeout.
RARE_PREFIX_WATCH_TIMEOUT_MS: Final = 4_000
# A VM that does not watch waits for objects from its peers this much longer than a watcher, which
# must list them first.
NON_WATCHER_WAIT_FACTOR: Final = 3.0
# A response confirms the state at the time of its request, so in normal operation a replica is at
# most two watches and one peer exchange old. A VM with an older replica calls the store itself.
PREFIX_STALE_AFTER_S: Final = 6.0
# How often a VM checks whether it has to call the store.
ROLE_CHECK_INTERVAL_S: Final = 0.1
MIN_PREFIX_BACKOFF_S: Final = 0.2
MAX_PREFIX_BACKOFF_S: Final = 1.5
# Pause after a response with changes; far below the seconds allowed for a change to take effect.
PREFIX_WATCH_PAUSE_S: Final = 0.2
# After the store came back from an older copy, what it lost is written again within about 2 s. VMs
# learn of it a moment later.
LOST_OBJECT_HOLD_S: Final = 3.0
# How often a VM checks whether the store answers once a loss is due.
LOSS_CHECK_INTERVAL_S: Final = 0.2
