"""Constants of the transport slice."""

from typing import Final

RECEIVE_CHUNK_BYTES: Final = 65_536
MAX_REQUEST_BODY_BYTES: Final = 1_048_576
MAX_RESPONSE_BODY_BYTES: Final = 64 * 1_048_576
MAX_HEADER_BYTES: Final = 32_768
# A caller that sends part of a request must send the rest within this time.
REQUEST_RECEIVE_TIMEOUT_S: Final = 30.0
IDLE_CONNECTION_TIMEOUT_S: Final = 75.0
MAX_HEADER_FIELDS: Final = 100
MAX_INFORMATIONAL_RESPONSES: Final = 16
# After a refusal the rest of the caller's bytes is read for this long, so that it gets the answer.
LINGER_TIMEOUT_S: Final = 1.0
MAX_LINGER_BYTES: Final = 4 * 1_048_576
# A caller that takes no bytes for this long is treated as gone.
SEND_TIMEOUT_S: Final = 60.0
# A dropped connection resets a request after one way there and back: up to 70 ms between regions.
IDLE_RESET_WINDOW_S: Final = 0.2
# New connections cost about a millisecond each; after this time idle ones are tried again.
IDLE_LIMIT_TTL_S: Final = 20.0
