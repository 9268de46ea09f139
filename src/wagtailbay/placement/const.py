"""Constants of the placement slice."""

from typing import Final

# Requests of other VMs at a target are estimated from its last load report. The weight of the
# report decays with this half-life in favour of the counts that the VMs exchange.
REPORT_HALF_LIFE_S: Final = 0.7
# Pace of a target at which work takes as long as usual.
USUAL_PACE_PERCENT: Final = 100.0
# A VM uses up to this many times its equal share of a target's free capacity, since not all VMs
# use theirs.
SENDER_SHARE_FACTOR: Final = 8.0
OCCUPANCY_KIND: Final = "occupancy"
# About the duration of a short request; older counts say little about the slots in use.
OCCUPANCY_INTERVAL_S: Final = 0.5
# With fewer VMs in the region, each gets load reports often enough. With five VMs the exchange
# cost bandwidth and served requests no better.
OCCUPANCY_MIN_VMS: Final = 8
# Slightly more than three exchanges, after which the requests of a lost VM no longer count.
OCCUPANCY_TTL_MS: Final = 4_000
# Weight of the newest sample in the moving average of a target's latency.
LATENCY_WEIGHT: Final = 0.15
# A target whose latency exceeds the median of its service by this factor is slow and gets few
# requests.
SLOW_TARGET_LATENCY_FACTOR: Final = 2.5
SLOW_TARGET_UTILIZATION: Final = 0.2
# Minimum number of latency samples before a target can count as slow.
MIN_LATENCIES: Final = 4
# A latency average without a new sample for this long is ignored.
LATENCY_MAX_AGE_S: Final = 3.0
# Weight of the newest outcome in a target's moving failure share, and the share at which the
# target is ejected.
FAILURE_WEIGHT: Final = 0.2
EJECT_FAILURE_SHARE: Final = 0.35
EJECT_S: Final = 1.0
MAX_EJECT_S: Final = 8.0
# Ejections are ignored when more than this share of a service's targets is ejected.
MAX_EJECTED_SHARE: Final = 0.5
# A target that shed a request counts as full for this long.
SHED_HOLD_S: Final = 0.15
# A target may queue requests as long as the expected latency stays within this share of the
# latency goal.
LATENCY_GOAL_SHARE: Final = 0.85
MIN_UTILIZATION: Final = 1.0
MAX_UTILIZATION: Final = 2.5
# A request falls back to a target without its object in the cache only below this utilization: the
# first while the service is idle, the second once it is busy. Under load a cache miss, which takes
# three times as long and evicts other objects, costs more than a refusal.
FALLBACK_UTILIZATION_IDLE: Final = 0.9
FALLBACK_UTILIZATION_BUSY: Final = 0.25
# Mean utilization of the targets up to which a service is idle, and from which it is busy.
IDLE_UTILIZATION: Final = 0.4
BUSY_UTILIZATION: Final = 0.7
# Targets of other regions are used only well below their slots, which serve the callers of those
# regions first.
REMOTE_UTILIZATION_IDLE: Final = 0.6
REMOTE_UTILIZATION_BUSY: Final = 0.3
# Maximum change per second of the share of requests sent to other regions, as a fraction of the
# change allowed between two consecutive windows of 2 s. The rest is a margin for the randomness of
# small counts.
SPILLOVER_STEP_FRACTION_PER_S: Final = 0.267
# Without a usable target in the local region, a gradual change has no benefit.
NO_LOCAL_TARGETS_STEP_PER_S: Final = 10.0
SPILLOVER_DEMAND_HALF_LIFE_S: Final = 0.7
# Requests are not observed while no other region may receive them. What the share may change in a
# longer time would be a sudden change when they are again.
MAX_OBSERVED_GAP_S: Final = 1.0
# Minimum number of VMs assumed for a region when the rate of a cold target is divided, since the
# fleet may not be known yet.
ASSUMED_MIN_REGION_VMS: Final = 3
# Fraction of the rate beyond a cold target's limit that the bursts of its senders may use. The rest
# is a margin for senders that restart with a full bucket.
COLD_BURST_FRACTION: Final = 0.5
MIN_RETRY_AFTER_MS: Final = 150
MAX_RETRY_AFTER_MS: Final = 1_500
# A target takes up to three times as long for an object that it handles for the first time. From
# this size on, sending the bytes between two zones costs more than one more target doing so.
LARGE_EXCHANGE_BYTES: Final = 3_000
# Weight of the newest exchange in the moving average of a route's exchange size.
SIZE_WEIGHT: Final = 0.1
# In a zone with fewer targets of a service, one target would get all objects of the zone, more than
# it can cache.
MIN_TARGETS_PER_ZONE: Final = 2
# Which machines are slow changes about every 0.6 s, so a reported pace fades to the usual one.
PACE_HALF_LIFE_S: Final = 0.4
# From this pace on, the expected time at the preferred target is compared with the latency goal.
SLOW_PACE: Final = 1.1
# Part of the work time that a target needs for an object that it has handled lately.
WARM_WORK_FRACTION: Final = 0.3
# A target keeps 14 to 23 objects, most of which other VMs use. This VM counts on the newest few.
MAX_RECENT_OBJECTS: Final = 8
RECENT_OBJECT_MAX_AGE_S: Final = 3.0
# A target that holds an object but is not its preferred one takes it only into a free slot, since
# its queue delays the objects that prefer it.
MAX_CACHED_UTILIZATION: Final = 1.0
# Weight of the newest sample in a service's work time, and samples before it is used.
WORK_WEIGHT: Final = 0.02
MIN_WORK_SAMPLES: Final = 20
# A few requests take seven times as long as the others; a sample counts as at most this multiple.
MAX_WORK_FACTOR: Final = 3.0
# Without an answer with a load report for this long, expected times are not used.
WORK_MAX_AGE_S: Final = 5.0
REGION_ROUND_TRIP_MS: Final = 70.0
# Where targets report load, a request with a good target in its own region goes to another region
# only if credit for as many requests has accumulated. Requests that gain by it come first.
SPARE_SPILLOVER_CREDIT: Final = 3.0
# An object gets another target when its own requests use more than this part of a target's slots.
# The margin keeps the noise of small rates from adding one.
REPLICA_UTILIZATION: Final = 0.7
REPLICA_MARGIN: Final = 0.2
MAX_REPLICAS: Final = 4
# A VM of a large region gets a few requests/s even for an object in high demand.
OBJECT_RATE_HALF_LIFE_S: Final = 3.0
MAX_DEMANDED_OBJECTS: Final = 512
