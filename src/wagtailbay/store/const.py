"""Constants of the store slice."""

from typing import Final

DEFAULT_CALL_TIMEOUT_MS: Final = 2_000
# A watch is given this much longer than its own timeout before the connection counts as dead.
WATCH_TIMEOUT_MARGIN_MS: Final = 2_000
MAX_VALUE_BYTES: Final = 1_000_000
