"""Constants of the hedging slice."""

from typing import Final

MAX_HEDGE_SHARE: Final = 0.2
DEFAULT_QUANTILE: Final = 0.95
MIN_QUANTILE: Final = 0.5
MAX_QUANTILE: Final = 0.999
# A second attempt before this fraction of the latency goal would not improve an answer in time.
MIN_DELAY_GOAL_FRACTION: Final = 0.5
# Second attempts that a service may have saved up, so that a quiet time allows no burst.
HEDGE_BURST: Final = 10.0
# Part of the burst that is kept for requests of the most urgent priority.
URGENT_RESERVE_FRACTION: Final = 0.5
# With a higher mean utilization, second attempts would delay first ones.
MAX_HEDGE_UTILIZATION: Final = 0.7
REFUSAL_MEMORY_S: Final = 1.0

# Latencies are kept in buckets whose bounds grow by this factor, from 1 ms to about 2 minutes.
BUCKET_FACTOR: Final = 1.1
BUCKETS: Final = 124
# Weight of a latency halves in this time, so the quantile follows slower targets within seconds.
LATENCY_HALF_LIFE_S: Final = 10.0
# The quantile is computed at most this often, as it takes longer than recording a latency.
QUANTILE_REFRESH_S: Final = 0.25
# With fewer recent latencies, their quantile says little.
MIN_LATENCIES: Final = 20.0
MAX_ROUTES: Final = 256
