"""Constants for target selection."""

from typing import Final

PPM: Final = 1_000_000
# Maximum time that a request waits for a free target or for budget.
MAX_WAIT_S: Final = 0.2
# Waiting requests retry at this interval, because some capacity becomes free without an event.
WAIT_POLL_INTERVAL_S: Final = 0.02
# Lower bound of the retry interval while this VM's own refill rate is about to provide budget.
MIN_POLL_INTERVAL_S: Final = 0.005
# While no target is failed, ejected, drained or in slow start, a snapshot of the targets is reused
# for this long. A change of reports, ejections or documents invalidates it immediately.
SNAPSHOT_TTL_S: Final = 0.1
# Draws for a second, different target. Repeats are rare unless one target has nearly all weight.
MAX_DRAWS: Final = 16
SLOW_START_INITIAL_FACTOR: Final = 0.1
SLOW_START_STEP_PER_S: Final = 0.1
SPILLOVER_END_UTILIZATION: Final = 0.8
SPILLOVER_END_DELAY_S: Final = 5.0
# The load estimate counts this VM's requests twice, so a full target may show twice its slots.
BUSY_UTILIZATION: Final = 2.0
# Each consecutive shed raises the load assumed for other VMs to at least this much per slot, up to
# MAX_COUNTED_SHEDS times as much, even if the target reports less.
SHED_LOAD_PER_SLOT: Final = 1.0
MAX_COUNTED_SHEDS: Final = 4
SHED_HALF_LIFE_S: Final = 1.0
# A response this recent overrides probes that report the target as failed.
RECENT_RESPONSE_S: Final = 2.0
# Averaging window of region usage in status reports; long enough to smooth Poisson arrivals at a
# few requests/s.
USAGE_WINDOW_S: Final = 5.0
# Weight of the latest sample in the moving average of the latency.
LATENCY_EWMA_WEIGHT: Final = 0.1
# A target with fewer samples is never considered slow.
MIN_LATENCY_SAMPLES: Final = 3
# A target is slow from this multiple of its service's mean latency. At 1.5, random variation among
# equal targets alone tripled the shed responses of the steering trial at 90% load.
SLOW_THRESHOLD: Final = 2.0
MAX_SLOWNESS: Final = 10.0
# Without a sample for this long, a slow target is used like any other again.
LATENCY_TTL_S: Final = 3.0
# A request without a reported end stops counting as in flight this long after its deadline.
UNREPORTED_END_GRACE_S: Final = 1.0
