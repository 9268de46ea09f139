"""Constants of the transport slice."""

from typing import Final

RECEIVE_CHUNK_BYTES: Final = 65_536
MAX_REQUEST_BODY_BYTES: Final = 1_048_576
MAX_FETCHED_BODY_BYTES: Final = 64 * 1_048_576
MAX_HEADER_BYTES: Final = 32_768
# A caller that sends part of a request must send the rest within this time.
REQUEST_RECEIVE_TIMEOUT_S: Final = 30.0
IDLE_CONNECTION_TIMEOUT_S: Final = 75.0
