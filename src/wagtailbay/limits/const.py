"""Constants of the limits slice."""

from typing import Final

# Maximum wait for a token, which gives callers a short delay in place of a refusal.
MAX_WAIT_MS: Final = 200
# Bounds the memory of queued requests when a workspace far exceeds its rate.
MAX_QUEUED_REQUESTS: Final = 32
MIN_SLEEP_S: Final = 0.001
# Interval at which a queued request asks again for a loan.
LOAN_RETRY_INTERVAL_S: Final = 0.025
# Bursts of budgets that are configured with a rate only, in seconds of that rate.
REGION_BURST_S: Final = 0.5
LINK_BURST_S: Final = 0.2
# Burst of a new version's budget, deducted from its rate. With 0.1 s, 11 evenly loaded VMs used
# only 3% of a cap of 20/s, because each held less than a token and loans moved rate, not tokens.
VERSION_BURST_S: Final = 0.34
BYTES_PER_MBIT: Final = 125_000
# Rounding errors of many small refills may leave a bucket slightly below a whole token.
ROUNDING_TOLERANCE: Final = 1e-9
