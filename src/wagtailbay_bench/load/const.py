"""Constants of the load generator."""

from typing import Final

MAX_LATENCY_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
MAX_IN_FLIGHT: Final = 4_000
DEFAULT_TIMEOUT_MS: Final = 5_000
