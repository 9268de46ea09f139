"""Constants of the measurement scenarios."""

from typing import Final

SEED: Final = 20261204
# One machine runs two deployments at the same time, so rates and capacities are scaled down alike.
RATE_SCALE: Final = 0.25
QUICK_DURATION_S: Final = 11.0
FULL_DURATION_S: Final = 40.0
QUICK_VM_COUNT: Final = 6
ACTION_AT_S: Final = 3.0
VERSION_PLAN_DURATION_S: Final = 60.0
WARM_UP_S: Final = 5.0
CLIENT_TIMEOUT_MS: Final = 3_000
SERVICE_TIME_MS: Final = 8.0
PROBE_COST_MS: Final = 6.0
# Group of callers under which the requests to each example service are reported.
CALLERS_BY_SERVICE: Final = {
    "records": "readers",
    "fulltext": "readers",
    "harvest": "harvesters",
    "deposits": "deposits",
    "status": "drivers",
    "payouts": "payouts",
    "rates": "rate_tables",
    "claims": "claims",
}
