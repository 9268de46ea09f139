"""Constants of the once slice."""

from typing import Final

OBJECT_PREFIX: Final = "once/"
# Workspace part of the object key on a route open to all.
OPEN_WORKSPACE: Final = "-"
MAX_KEY_BYTES: Final = 255
MAX_RECORDED_BODY_BYTES: Final = 65_536
# A put whose answer was lost and that cannot be read back is given up after this time.
CLAIM_TIMEOUT_S: Final = 2.0
MAX_CLAIM_WRITES: Final = 6
MAX_STORE_CALLS: Final = 32
MAX_WAITING_CALLS: Final = 128
MAX_WATCHES: Final = 16
MAX_HELD_BODY_BYTES: Final = 16 * 1_048_576
MAX_HELD_CLAIMS: Final = 512
WATCH_TIMEOUT_MS: Final = 1_000
FIRST_RETRY_S: Final = 0.05
LAST_RETRY_S: Final = 1.0
# The caller's answer waits at most this long for its outcome to be recorded.
OUTCOME_WRITE_WAIT_S: Final = 0.5
# A stopping VM waits this long for outcomes that the store does not have yet.
DRAIN_TIMEOUT_S: Final = 10.0
MAX_PENDING_WRITES: Final = 256
MAX_PENDING_BYTES: Final = 8 * 1_048_576
# Callers are promised 24 h; the margin covers clocks that differ between VMs.
EXPIRY_S: Final = 24 * 3600
EXPIRY_MARGIN_S: Final = 3600
SWEEP_INTERVAL_S: Final = 1.0
DELETES_PER_STEP: Final = 200
CONCURRENT_DELETES: Final = 8
SHARD_DIGITS: Final = 2
