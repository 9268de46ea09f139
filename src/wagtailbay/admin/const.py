"""Constants of the admin slice."""

from typing import Final

OPENAPI_PATH: Final = "/openapi.json"
READY_PATH: Final = "/-/ready"
ENTRY_STATUS_PATH: Final = "/-/status"
MOVE_PREFIX: Final = "moves/"
# A write with an unknown outcome is read back and, where it had no effect, tried this often.
MAX_WRITE_ATTEMPTS: Final = 3
MAX_CONCURRENT_STATUS_READS: Final = 64
DEFAULT_STATUS_TIMEOUT_MS: Final = 1_000
# A withdrawal is in force everywhere within seconds; the answer waits this long for a quorum.
DEFAULT_WITHDRAWAL_WAIT_MS: Final = 3_000
# Each poll asks every entry VM, so the pauses double.
WITHDRAWAL_INITIAL_POLL_S: Final = 0.2
# Below this, the loss of a zone of the region or a jump of demand leads to spill or refusals.
LOW_HEADROOM_PERCENT: Final = 10.0
DEFAULT_AUDIT_LIMIT: Final = 50
