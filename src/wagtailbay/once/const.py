"""Constants of the once slice."""

from typing import Final

CLAIM_KEY_PREFIX: Final = "once/"
# Workspace part of the object key on a route open to all.
OPEN_ROUTE_WORKSPACE: Final = "-"
MAX_IDEMPOTENCY_KEY_BYTES: Final = 255
MAX_RECORDED_BODY_BYTES: Final = 65_536
# A put whose answer was lost and that cannot be read back is given up after this time.
CLAIM_READ_TIMEOUT_S: Final = 2.0
MAX_CLAIM_WRITE_ATTEMPTS: Final = 6
MAX_CONCURRENT_STORE_CALLS: Final = 32
MAX_QUEUED_STORE_CALLS: Final = 128
MAX_CONCURRENT_WATCHES: Final = 16
MAX_BUFFERED_BODY_BYTES: Final = 16 * 1_048_576
MAX_BUFFERED_REQUESTS: Final = 512
WATCH_TIMEOUT_MS: Final = 1_000
INITIAL_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 1.0
# The caller's answer waits at most this long for its outcome to be recorded.
OUTCOME_WRITE_TIMEOUT_S: Final = 0.5
# A stopping VM waits this long for outcomes that the store does not have yet.
OUTCOME_DRAIN_TIMEOUT_S: Final = 10.0
MAX_PENDING_WRITES: Final = 256
MAX_PENDING_BYTES: Final = 8 * 1_048_576
# Callers are promised 24 h; the margin covers clocks that differ between VMs.
CLAIM_RETENTION_S: Final = 24 * 3600
CLAIM_RETENTION_MARGIN_S: Final = 3600
SWEEP_INTERVAL_S: Final = 1.0
MAX_DELETES_PER_SHARD: Final = 200
MAX_CONCURRENT_DELETES: Final = 8
SHARD_HEX_DIGITS: Final = 2
