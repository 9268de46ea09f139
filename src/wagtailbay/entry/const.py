"""Constants of the request path."""

from typing import Final

LOCATE_PATH: Final = "/-/locate"
STATUS_PATH: Final = "/-/status"
READY_PATH: Final = "/-/ready"
REQUEST_ID_BYTES: Final = 16
# A starting VM is ready within a second, unless the store is unavailable.
NOT_READY_RETRY_AFTER_MS: Final = 1_000
MAX_DEADLINE_MS: Final = 600_000
MAX_ATTEMPTS: Final = 3
CONNECT_TIMEOUT_MS: Final = 1_000
# Request headers that are not forwarded from callers to targets. "_" in a name is treated as "-",
# because some targets do not distinguish them.
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
# Headers that must not be repeated: this system and a target could use different values.
SINGLE_REQUEST_HEADERS: Final = (
    "authorization",
    "idempotency-key",
    "request-timeout-ms",
)
# Headers with this prefix are set by the entry VM only, on requests and responses.
RESERVED_HEADER_PREFIX: Final = "wagtailbay-"
# Bounds the cache of header names, since callers may send any number of distinct names.
HEADER_NAME_CACHE_SIZE: Final = 512
RUN_HEADER: Final = "Wagtailbay-Run"
REQUEST_ID_HEADER: Final = "Wagtailbay-Request-Id"
REPLAY_HEADER: Final = "Wagtailbay-Replayed"
# Shorter keys would match ordinary text by chance.
MIN_SEARCHED_KEY_LENGTH: Final = 8
RETRY_RATIO: Final = 0.1
RETRY_CAPACITY: Final = 20.0
# Allows a VM that has just started to retry its first failures.
INITIAL_RETRY_TOKENS: Final = 2.0
