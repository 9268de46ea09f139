"""Constants of the replica slice."""

from typing import Final

REPLICATED_PREFIXES: Final = ("documents/", "keys/", "ledgers/", "moves/", "leases/")
# A watch answers at least this often, which bounds the age of a watcher's knowledge.
WATCH_TIMEOUT_MS: Final = 1_000
STALE_AFTER_S: Final = 3.0
LIST_INTERVAL_S: Final = 1.0
MAX_BACKOFF_S: Final = 10.0
