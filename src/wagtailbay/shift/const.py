"""Constants of moves, evidence and the judge."""

from typing import Final

PPM: Final = 1_000_000
MOVE_KEY_PREFIX: Final = "moves/"
CANARY_SHARE_PPM: Final = 20_000
# Shorter steps would end before the evidence of all VMs has reached the lease holder.
MIN_STEP_S: Final = 5.0
WATCH_DURATION_S: Final = 60.0
# The old version keeps this share, at most one step, as a control group during the watch phase.
# Without it, trouble that hit both versions in that phase rolled back good versions (67 of 240
# simulated moves).
CONTROL_SHARE_PPM: Final = 100_000
# Time between the planned end of the watch phase and the deadline, for late ticks and a change of
# the lease holder.
DEADLINE_MARGIN_S: Final = 10.0
# The steps are stored in the move object; more of them would exceed its maximum size.
MAX_STEPS: Final = 1_000
MAX_CONTACT_AGE_S: Final = 10.0
# A step is complete only after the new version served this many requests over the fleet.
MIN_STEP_REQUESTS: Final = 10

EVIDENCE_KIND: Final = "evidence"
EVIDENCE_TTL_MS: Final = 10_000
STOP_KIND: Final = "stop"
STOP_TTL_MS: Final = 3_600_000
STOP_INDEX_INTERVAL_S: Final = 0.02
TICK_INTERVAL_S: Final = 1.0

# Upper bounds of the latency buckets grow by a factor of sqrt(2) from 1 ms; the last bucket starts
# at 33 s.
LATENCY_BUCKETS: Final = 32
# Each VM leaves out the latencies of the first answers: a cold cache slows even a good version.
WARMUP_REQUESTS: Final = 10

MOVE_FALSE_POSITIVE_RATE: Final = 0.01
# Odds ratios of the new to the old version that are still acceptable; the test detects larger ones.
MAX_FAILURE_ODDS_RATIO: Final = 1.5
MAX_SLOW_ODDS_RATIO: Final = 2.0
BET_FACTORS: Final = (3.0, 10.0, 60.0)
SLOW_PERCENTILE: Final = 0.95
MIN_HISTORY_LATENCIES: Final = 40
# Requests are tested in blocks. The end of a block must not depend on the outcomes in it.
MIN_BLOCK_OLD_REQUESTS: Final = 10
BLOCK_MAX_S: Final = 30.0
RESTART_BLOCKS: Final = 10
# Without requests to the old version, the new one is compared with the old one's history.
REFERENCE_AFTER_S: Final = 60.0
REFERENCE_FACTOR: Final = 3.0
MIN_REFERENCE_FAILURE_RATE: Final = 0.05
MIN_REFERENCE_SLOW_RATE: Final = 0.25
MAX_COUNT: Final = 2**53
# A larger increase of one VM's counts between two reads shows a malformed fact.
MAX_DELTA_REQUESTS: Final = 1_000_000
# Blocks with more events are scaled down, which loses evidence but keeps the bound on false
# positives.
MAX_BLOCK_EVENTS: Final = 500
