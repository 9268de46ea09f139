"""Constants of the steer slice."""

from typing import Final

PPM: Final = 1_000_000
# Longest wait for a free target or for budget.
MAX_WAIT_S: Final = 0.2
# Waiting requests look again after this time, for what becomes free without an event.
WAIT_POLL_INTERVAL_S: Final = 0.02
# Bounds how often a request looks for budget that its VM's own rate is about to bring.
MIN_POLL_INTERVAL_S: Final = 0.005
# While no target is failed, ejected, drained or starting slowly, the list of targets is kept for
# this long; a change of reports, ejections or documents ends it at once.
SNAPSHOT_TTL_S: Final = 0.1
# Two draws are the same target rarely, unless it has nearly all chances.
MAX_DRAWS: Final = 16
SLOW_START_INITIAL_FACTOR: Final = 0.1
SLOW_START_STEP_PER_S: Final = 0.1
SPILLOVER_END_UTILIZATION: Final = 0.8
SPILLOVER_END_DELAY_S: Final = 5.0
# Estimated load counts this VM's requests twice, so a full target may show twice its slots.
BUSY_UTILIZATION: Final = 2.0
# A shed that contradicts the report counts as this many times the slots, most after four in a row.
SHED_LOAD_PER_SLOT: Final = 1.0
MAX_COUNTED_SHEDS: Final = 4
SHED_HALF_LIFE_S: Final = 1.0
# An answer this recent outweighs probers that call the target failed.
RECENT_RESPONSE_S: Final = 2.0
# Region usage in status; long enough to smooth a Poisson stream of a few requests/s.
USAGE_WINDOW_S: Final = 5.0
# Weight of the newest answer in a target's mean latency.
LATENCY_EWMA_WEIGHT: Final = 0.1
# Fewer answers tell nothing of a target.
MIN_LATENCY_SAMPLES: Final = 3
# A target counts as slow from this many times the mean of its service. At 1.5 the scatter of equal
# targets alone tripled the shed answers of the steering trial at 90% load.
SLOW_THRESHOLD: Final = 2.0
MAX_SLOWNESS: Final = 10.0
# After this time without an answer a slow target is tried like any other.
LATENCY_TTL_S: Final = 3.0
# A request whose end is not reported stops counting this long after its deadline.
UNREPORTED_END_GRACE_S: Final = 1.0
