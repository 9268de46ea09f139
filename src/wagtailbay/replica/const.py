"""Constants of the replica slice."""

from typing import Final

REPLICATED_PREFIXES: Final = ("documents/", "keys/", "ledgers/", "moves/", "leases/")
# A watch answers at least this often, which bounds the age of a watcher's knowledge.
WATCH_TIMEOUT_MS: Final = 1_000
STALE_AFTER_S: Final = 3.0
LIST_INTERVAL_S: Final = 1.0
MAX_BACKOFF_S: Final = 10.0

# Where each kind of object has a watch of its own, it waits longer, since each call is counted.
FOLLOW_WAIT_MS: Final = 2_000
# Longer than a watch and the exchange that passes its answer on, so that a VM that learns from its
# peers calls the store only when they hear nothing either.
FOLLOW_STALE_AFTER_S: Final = 4.0
FOLLOW_BACKOFF_S: Final = 0.2
MAX_FOLLOW_BACKOFF_S: Final = 1.5
