"""Constants of the entry slice."""

from typing import Final

LOCATE_PATH: Final = "/-/locate"
STATUS_PATH: Final = "/-/status"
READY_PATH: Final = "/-/ready"
REQUEST_ID_BYTES: Final = 16
# A VM that starts while the store answers is ready within a second.
NOT_READY_RETRY_AFTER_MS: Final = 1_000
MAX_DEADLINE_MS: Final = 600_000
MAX_ATTEMPTS: Final = 3
CONNECT_TIMEOUT_MS: Final = 1_000
# Request fields that a target must not receive from a caller; "_" in a name counts as "-",
# because some targets do not tell the two apart.
PRIVATE_REQUEST_HEADERS: Final = frozenset(
    {
        "authorization",
        "proxy-authorization",
        "request-timeout-ms",
        "content-length",
        "transfer-encoding",
        "expect",
    }
)
# Two values of these fields could be read differently here and at a target.
SINGLE_REQUEST_HEADERS: Final = (
    "authorization",
    "idempotency-key",
    "request-timeout-ms",
)
# Fields with this prefix are set by the entry VM only, in both directions.
RESERVED_HEADER_PREFIX: Final = "wagtailbay-"
# Names whose class is kept; callers may send any number of others.
HEADER_NAME_CACHE_SIZE: Final = 512
RUN_HEADER: Final = "Wagtailbay-Run"
REPLAY_HEADER: Final = "Wagtailbay-Replayed"
# Shorter keys would be found in ordinary text by chance.
MIN_SEARCHED_KEY_LENGTH: Final = 8
RETRY_RATIO: Final = 0.1
RETRY_CAPACITY: Final = 20.0
# Lets a VM that has served nothing yet retry its first failures.
INITIAL_RETRY_TOKENS: Final = 2.0
