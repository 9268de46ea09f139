"""Constants of the replica slice."""

from typing import Final

REPLICATED_PREFIXES: Final = ("documents/", "keys/", "ledgers/", "moves/", "leases/")
# A watch answers at least this often, which bounds the age of a watcher's knowledge.
WATCH_TIMEOUT_MS: Final = 1_000
STALE_AFTER_S: Final = 3.0
LIST_INTERVAL_S: Final = 1.0
MAX_BACKOFF_S: Final = 10.0

# Where each kind of object has a watch of its own, it waits longer, since each call is counted.
PREFIX_WATCH_TIMEOUT_MS: Final = 2_000
# An answer proves what was true when it was asked for, so knowledge is up to two watches and an
# exchange old where all is well. Older knowledge makes a VM call the store itself.
PREFIX_STALE_AFTER_S: Final = 6.0
MIN_PREFIX_BACKOFF_S: Final = 0.2
MAX_PREFIX_BACKOFF_S: Final = 1.5
# Pause after an answer with changes; far below the seconds in which a change must be in force.
PREFIX_WATCH_PAUSE_S: Final = 0.2
