"""Constants of the request path measurement."""

from typing import Final

TARGET_COUNT: Final = 12
TARGETS_PER_PROCESS: Final = 4
SLOTS_PER_TARGET: Final = 6
RESPONSE_BODY_BYTES: Final = {"small": 0, "64k": 65_536}
ROUND_COUNT: Final = 6
ROUND_DURATION_S: Final = 1.2
WARM_UP_S: Final = 0.4
SATURATING_CONNECTIONS: Final = 16
# Far below the capacity of every variant, so that latency includes no queueing for CPU.
PACED_RATE_PER_S: Final = 100.0
PACED_CONNECTIONS: Final = 4
PACED_DURATION_S: Final = 2.0
IDLE_CONNECTIONS: Final = 400
# Goal for the product's CPU time per request, relative to the bare forwarder's.
GOAL_RATIO: Final = 1.5
