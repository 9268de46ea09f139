"""Constants of the regions slice."""

from typing import Final

REGION_COUNTS_KIND: Final = "region_counts"
EXCHANGE_INTERVAL_S: Final = 1.0
# A plan may be applied at once only while no window of 2 s has had traffic. So counts are exchanged
# this soon after the first request, and this often until the start of traffic is over.
EARLY_INTERVAL_S: Final = 0.2
START_S: Final = 1.2
# Counts and plans that are older say nothing about the present.
MAX_PLAN_AGE_S: Final = 5.0
# Sums count as complete if they contain this part of the live VMs.
MIN_COVERAGE: Final = 0.5
# A region with a smaller demand, 20 requests in 2 s, has no traffic yet.
MIN_STARTED_PER_S: Final = 10.0

# A region keeps its own demand below this utilization.
KEPT_UTILIZATION: Final = 0.7
# A region begins to send requests away only when its utilization exceeds the kept one by this
# margin and that of the emptiest region by this factor. The estimates of equal regions differ by
# chance, most of all by their counts of the first half second and by work times of cold caches.
START_MARGIN: Final = 0.05
START_RATIO: Final = 1.5
EARLY_START_RATIO: Final = 3.0
# Beyond this utilization, no region has free capacity that others could use.
MAX_FREE_UTILIZATION: Final = 0.9
# A plan that differs less from the previous one is not adopted.
MIN_SHARE_CHANGE: Final = 0.02
# A difference from this share on is logged.
LOGGED_SHARE_CHANGE: Final = 0.1

# Weight of the newest demand in the estimate halves the older one within this time.
DEMAND_HALF_LIFE_S: Final = 0.7
SLOPE_WEIGHT: Final = 0.2
# Counts are 1 to 2 s old when a plan uses them, and shares take another second to follow.
LOOKAHEAD_S: Final = 2.0
MAX_LOOKAHEAD_CHANGE: Final = 0.3
# The estimate starts anew when demand grows by this factor within one interval.
DEMAND_JUMP_FACTOR: Final = 4.0

# The demand of a service without requests has faded to less after about ten seconds.
FORGOTTEN_PER_S: Final = 0.1

# Work times come from answers, of which older ones fade with this half-life. Which machines are
# slow changes every 0.6 s, so it covers several such changes.
WORK_HALF_LIFE_S: Final = 5.0
# With fewer answers, the latency goal stands for the work time.
MIN_ANSWERS: Final = 50.0
MIN_WORK_S: Final = 0.001

# Windows between which the requirement limits the change of region.
WINDOW_S: Final = 2.0
BUCKETS_PER_WINDOW: Final = 8
# Fraction of the allowed change that is used by what is executed, and by the planned change alone.
# The difference is left for requests that don't run where the plan puts them.
EXECUTED_FRACTION: Final = 0.7
PLANNED_FRACTION: Final = 0.65
# Of requests that are refused otherwise, this much may change its region.
LAST_FRACTION: Final = 0.8
# In a smaller window of one VM, the shares of an unchanged split differ by more than the allowed
# change by chance: with 5, a VM with 9 requests/s refused callers while every target was free.
MIN_WINDOW_REQUESTS: Final = 40
# Part of the executed change that is open to requests which have a target in the planned region but
# would be served faster elsewhere. The rest is left for requests that find no capacity there.
OPTIONAL_FRACTION: Final = 0.5
# Without a usable target in the own region, a gradual change has no benefit.
NO_LOCAL_TARGETS_STEP_PER_S: Final = 10.0
# Below this share, a region that need not send requests away no longer does.
MIN_SHARE: Final = 0.01
# Bounds what a malformed count of a peer can add to a sum.
MAX_COUNT: Final = 1e9
# Objects are requested unevenly, and a VM has few requests in 2 s, so regions do not get their
# shares exactly by objects. A region that is ahead of its share by this
# many requests leaves those of objects this close to a border to the region that is most behind. By
# objects alone, the shift limiter refused 13% of requests under waves, now 2% as by credit.
MAX_OVERDRAFT: Final = 0.5
BORDER_WIDTH: Final = 0.3
# Limits the credit of a region that can't be paid back.
MAX_CREDIT: Final = 5.0
