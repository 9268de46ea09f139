"""Limits and timeouts of the store client."""

from typing import Final

DEFAULT_CALL_TIMEOUT_MS: Final = 2_000
# A watch may exceed its own timeout by this much before the client gives up on the connection.
WATCH_TIMEOUT_MARGIN_MS: Final = 2_000
MAX_VALUE_BYTES: Final = 1_000_000
