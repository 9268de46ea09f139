"""Constants of the placement slice."""

from typing import Final

# What other VMs have in flight at a target is taken from its last report, which gives way at this
# pace to what the VMs told each other.
REPORT_HALF_LIFE_S: Final = 0.7
# A VM takes this many times its even part of a target's room, since not all use theirs.
SENDER_SHARE_FACTOR: Final = 8.0
OCCUPANCY_KIND: Final = "occupancy"
# About the time of a short request; what is older says little of the slots.
OCCUPANCY_INTERVAL_S: Final = 0.5
# With fewer VMs each hears the targets often enough; five VMs a region that told each other served
# no better and paid for the bytes.
OCCUPANCY_MIN_VMS: Final = 8
# Three exchanges and a little more: a VM that is lost no longer fills its targets.
OCCUPANCY_TTL_MS: Final = 4_000
# Weight of the newest latency in a target's mean.
LATENCY_WEIGHT: Final = 0.15
# A target this many times slower than its service's median gets little work.
SLOW_TARGET_LATENCY_FACTOR: Final = 2.5
SLOW_TARGET_UTILIZATION: Final = 0.2
# Latencies of a target without which it is not called slow.
MIN_LATENCIES: Final = 4
# A mean that no new answer has confirmed for this long no longer counts against a target.
LATENCY_MAX_AGE_S: Final = 3.0
# Weight of the newest outcome in a target's share of failures, and the share that ejects it.
FAILURE_WEIGHT: Final = 0.2
EJECT_FAILURE_SHARE: Final = 0.35
EJECT_S: Final = 1.0
MAX_EJECT_S: Final = 8.0
# With more than this share of a service's targets ejected, ejections are ignored.
MAX_EJECTED_SHARE: Final = 0.5
# A target that turned a request away counts as full for this long.
SHED_HOLD_S: Final = 0.15
# A target queues requests for an answer in good time up to this share of the latency goal.
LATENCY_GOAL_SHARE: Final = 0.85
MIN_UTILIZATION: Final = 1.0
MAX_UTILIZATION: Final = 2.5
# A request leaves its preferred target for one without its object only below this fill: the first
# while the service is idle, the second once it is busy, when work that takes three times as long
# and evicts other objects costs more than a refusal.
FALLBACK_UTILIZATION_IDLE: Final = 0.9
FALLBACK_UTILIZATION_BUSY: Final = 0.25
# The mean fill of the targets up to which a service counts as idle, and from which as busy.
IDLE_UTILIZATION: Final = 0.4
BUSY_UTILIZATION: Final = 0.7
# Other regions are used only well below their slots, since their own callers need these first.
REMOTE_UTILIZATION_IDLE: Final = 0.6
REMOTE_UTILIZATION_BUSY: Final = 0.3
# The share of requests sent to other regions moves by at most this much in a second. The bound of
# 15% between two windows of 2 s leaves room for the randomness of small counts.
SPILLOVER_STEP_PER_S: Final = 0.04
# With no usable target at home there is nothing to be gained by a slow change.
NO_LOCAL_TARGETS_STEP_PER_S: Final = 10.0
SPILLOVER_DEMAND_HALF_LIFE_S: Final = 0.7
# VMs of a region that are assumed before the fleet is known; shares of cold targets rest on it.
ASSUMED_MIN_REGION_VMS: Final = 3
# Each sender may hold one request for the first moment. With the rate itself that stays below one
# and a half of the rate and 5 requests, the users' bound in any second, from 2 requests/s on.
MAX_COLD_SENDERS: Final = 6
MIN_RETRY_AFTER_MS: Final = 150
MAX_RETRY_AFTER_MS: Final = 1_500
# A target that handles an object for the first time works up to three times as long. Bodies from
# this size on cost more between two zones than one more target that has to do so.
LARGE_EXCHANGE_BYTES: Final = 3_000
# Weight of the newest exchange in a route's mean size.
SIZE_WEIGHT: Final = 0.1
# A zone with fewer targets of a service would have all its objects at one target, more than this
# keeps warm.
MIN_TARGETS_PER_ZONE: Final = 2
