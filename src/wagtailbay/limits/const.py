"""Constants of the limits slice."""

from typing import Final

# A request waits at most this long for a token, so a caller sees a short delay, not a refusal.
MAX_WAIT_MS: Final = 200
# Bounds the memory of waiting requests when a workspace sends far more than its rate.
MAX_QUEUED_REQUESTS: Final = 32
MIN_SLEEP_S: Final = 0.001
# A waiting request asks again for a loan after this time.
LOAN_RETRY_INTERVAL_S: Final = 0.025
# Bursts of budgets whose documents state a rate only, in seconds of that rate.
REGION_BURST_S: Final = 0.5
LINK_BURST_S: Final = 0.2
# What a new version may save up, taken out of its rate. With 0.1, 11 VMs with even load used 3% of
# a cap of 20/s, because each held less than a token and rate was lent in place of tokens.
VERSION_BURST_S: Final = 0.34
BYTES_PER_MBIT: Final = 125_000
# Tokens gained in many small steps may fall short of a whole one by rounding.
ROUNDING_TOLERANCE: Final = 1e-9
