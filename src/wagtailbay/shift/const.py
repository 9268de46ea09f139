"""Constants of the shift slice."""

from typing import Final

PPM: Final = 1_000_000
MOVE_KEY_PREFIX: Final = "moves/"
CANARY_SHARE_PPM: Final = 20_000
# Shorter steps would end before the evidence of all VMs has reached the lease holder.
MIN_STEP_S: Final = 5.0
WATCH_DURATION_S: Final = 60.0
# The old version keeps this share, at most one step, while the new one is watched. Without it, a
# trouble that both share in the watch rolled good versions back (67 of 240 simulated moves).
CONTROL_SHARE_PPM: Final = 100_000
# Time between the planned end of the watch and the deadline, for late ticks and a lease change.
DEADLINE_MARGIN_S: Final = 10.0
# More steps would not fit into an object of the store.
MAX_STEPS: Final = 1_000
MAX_CONTACT_AGE_S: Final = 10.0
# New version's requests over the fleet without which no further step is taken.
MIN_STEP_REQUESTS: Final = 10

EVIDENCE_KIND: Final = "evidence"
EVIDENCE_TTL_MS: Final = 10_000
STOP_KIND: Final = "stop"
STOP_TTL_MS: Final = 3_600_000
STOP_INDEX_INTERVAL_S: Final = 0.02
TICK_INTERVAL_S: Final = 1.0

# Latency buckets grow by the square root of two from 1 ms; the last starts at 33 s.
LATENCY_BUCKETS: Final = 32
# A cold cache makes the first answers of a good version slow. Each VM leaves out this many.
WARMUP_REQUESTS: Final = 10

MOVE_FALSE_POSITIVE_RATE: Final = 0.01
# Odds ratios up to these count as alike; larger ones are bet on.
MAX_FAILURE_ODDS_RATIO: Final = 1.5
MAX_SLOW_ODDS_RATIO: Final = 2.0
BET_FACTORS: Final = (3.0, 10.0, 60.0)
SLOW_PERCENTILE: Final = 0.95
MIN_HISTORY_LATENCIES: Final = 40
# A block of requests is judged as a whole; its end must not depend on outcomes.
MIN_BLOCK_OLD_REQUESTS: Final = 10
BLOCK_MAX_S: Final = 30.0
RESTART_BLOCKS: Final = 10
# Without old requests, the new version is held to bounds taken from the old one's past.
REFERENCE_AFTER_S: Final = 60.0
REFERENCE_FACTOR: Final = 3.0
MIN_REFERENCE_FAILURE_RATE: Final = 0.05
MIN_REFERENCE_SLOW_RATE: Final = 0.25
MAX_COUNT: Final = 2**53
# Growth of one VM's counts between two readings above this is a malformed fact.
MAX_DELTA_REQUESTS: Final = 1_000_000
# Larger blocks are scaled down before they are judged, which loses evidence but keeps the bound.
MAX_BLOCK_EVENTS: Final = 500
