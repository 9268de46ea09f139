"""Limits of the values that a deployment may state."""

from typing import Final

MAX_TIME_MS: Final = 3_600_000.0
MAX_REQUESTS: Final = 1e9

# Lowest and highest accepted value of each requirement.
LIMITS_BY_NAME: Final = {
    "target_drain_ms": (0.0, MAX_TIME_MS),
    "contact_timeout_ms": (100.0, MAX_TIME_MS),
    "config_apply_ms": (100.0, MAX_TIME_MS),
    "retry_ratio": (0.0, 10.0),
    "retry_extra": (0.0, MAX_REQUESTS),
    "quota_slack": (0.0, MAX_REQUESTS),
    "exposure_share": (0.0, 1.0),
    "cold_overage": (1.0, 100.0),
    "cold_slack": (0.0, MAX_REQUESTS),
    "max_region_shift": (0.0, 1.0),
    "max_lookup_ttl_ms": (100.0, MAX_TIME_MS),
    "store_reads_per_s": (1.0, MAX_REQUESTS),
}
