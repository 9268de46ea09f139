"""Constants of idempotency handling."""

from typing import Final

CLAIM_KEY_PREFIX: Final = "once/"
# Replaces the workspace in the object key on routes that require no API key.
OPEN_ROUTE_WORKSPACE: Final = "-"
MAX_IDEMPOTENCY_KEY_BYTES: Final = 255
MAX_RECORDED_BODY_BYTES: Final = 65_536
# Limits how long a claim whose write result is uncertain is read back.
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
# Limits how long a caller's response is delayed while its outcome is recorded.
OUTCOME_WRITE_TIMEOUT_S: Final = 0.5
# Limits how long a stopping VM waits for its pending outcomes to be stored.
OUTCOME_DRAIN_TIMEOUT_S: Final = 10.0
MAX_PENDING_WRITES: Final = 256
MAX_PENDING_BYTES: Final = 8 * 1_048_576
# Callers are guaranteed 24 h; the margin covers clock skew between VMs.
CLAIM_RETENTION_S: Final = 24 * 3600
CLAIM_RETENTION_MARGIN_S: Final = 3600
SWEEP_INTERVAL_S: Final = 1.0
MAX_DELETES_PER_SHARD: Final = 200
MAX_CONCURRENT_DELETES: Final = 8
SHARD_HEX_DIGITS: Final = 2
