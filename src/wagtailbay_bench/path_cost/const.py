"""Constants of the measurement of the request path's cost."""

from typing import Final

TARGETS: Final = 12
TARGETS_PER_PROCESS: Final = 4
SLOTS: Final = 6
ANSWER_BYTES: Final = {"small": 0, "64k": 65_536}
ROUNDS: Final = 6
ROUND_S: Final = 1.2
WARM_UP_S: Final = 0.4
CONNECTIONS: Final = 16
# Far below what any variant can serve, so that latency holds no queueing for the processor.
PACED_PER_S: Final = 100.0
PACED_CONNECTIONS: Final = 4
PACED_S: Final = 2.0
IDLE_CONNECTIONS: Final = 400
# The goal: the product's processor time a request through the bare forwarder's.
GOAL_RATIO: Final = 1.5
