"""Constants of the admin slice."""

from typing import Final

OPENAPI_PATH: Final = "/openapi.json"
READY_PATH: Final = "/-/ready"
ENTRY_STATUS_PATH: Final = "/-/status"
MOVE_PREFIX: Final = "moves/"
# A write with an unknown outcome is read back and repeated if it did not take effect.
MAX_WRITE_ATTEMPTS: Final = 3
MAX_CONCURRENT_STATUS_READS: Final = 64
DEFAULT_STATUS_TIMEOUT_MS: Final = 1_000
# VMs apply a withdrawal within seconds; the response waits this long for a quorum to do so.
DEFAULT_WITHDRAWAL_WAIT_MS: Final = 3_000
# Each poll requests the status of every entry VM, so the interval doubles after each one.
WITHDRAWAL_INITIAL_POLL_S: Final = 0.2
# With less headroom, losing a zone of the region or a sudden increase in demand causes spillover
# to other regions or rejected requests.
LOW_HEADROOM_PERCENT: Final = 10.0
DEFAULT_AUDIT_LIMIT: Final = 50
