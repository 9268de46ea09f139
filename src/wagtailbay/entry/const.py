"""Constants of the entry slice."""

from typing import Final

LOCATE_PATH: Final = "/-/locate"
STATUS_PATH: Final = "/-/status"
READY_PATH: Final = "/-/ready"
MAX_DEADLINE_MS: Final = 600_000
MAX_ATTEMPTS: Final = 3
CONNECT_TIMEOUT_MS: Final = 1_000
# Request fields that a target must not receive from a caller.
PRIVATE_REQUEST_HEADERS: Final = frozenset(
    {"authorization", "wagtailbay-workspace", "wagtailbay-request-id", "request-timeout-ms"}
)
RUN_HEADER: Final = "Wagtailbay-Run"
