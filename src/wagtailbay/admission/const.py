"""Constants of the admission slice."""

from typing import Final

DEFAULT_MAX_QUEUED: Final = 2_000
MAX_WAIT_FRACTION: Final = 0.5
MAX_MAX_QUEUED: Final = 100_000
# Completions older than this say little once targets were lost: half of them may go in a second.
COMPLETIONS_WINDOW_S: Final = 0.7
# Completions come at random times: n of them are late by about the square root of n. Without this
# margin 156 of 925 requests that waited at 4 times the capacity were not served; with it 68 of 834,
# at the same number of served ones.
COMPLETIONS_DEVIATION: Final = 0.7
# Time over which the capacity that ranks and workspaces got is compared.
SHARE_WINDOW_S: Final = 2.0
# A rank gets at least one of this many admissions while it has demand, so a fifth.
STARVATION_PERIOD: Final = 5
# Completions of other VMs also free capacity, and this VM does not hear of them.
RESELECT_INTERVAL_S: Final = 0.05
# Requests may wait for different targets, since each object has a preferred one. After a completion
# this many of them select again, which bounds the processor time for each completion.
MAX_TRIES_PER_EPOCH: Final = 8
# The other tries are of the requests that have not tried for longest. Without these, eight requests
# for one full object kept all others from free targets.
MAX_TRIES_IN_ORDER: Final = 4
# Time for which a refused caller is remembered, and how many are.
REFUSED_TTL_S: Final = 10.0
MAX_REFUSED_CALLERS: Final = 4_096
# A caller that returns before this fraction of its Retry-After has ignored it.
EARLY_RETURN_FRACTION: Final = 0.5
MIN_RETRY_AFTER_MS: Final = 150.0
# A caller needs the rest of its time to be served when it comes back.
RETRY_REMAINING_FRACTION: Final = 1 / 3
