"""Constants of the quota slice."""

from typing import Final

# Prefix of the budget names in token requests, followed by the workspace name.
BUDGET_PREFIX: Final = "workspace_rate:"
# A request for tokens carries no part of the rate, but the loan message requires a share.
TOKEN_SHARE_PPM: Final = 1

OWNERSHIP_INTERVAL_S: Final = 0.2
# Several intervals, since a busy VM reads late.
OWNERSHIP_TERM_S: Final = 1.0
# Fraction of the requests allowed beyond a workspace's rate and burst with which a new owner
# starts. Its bucket is otherwise empty, since the previous owner may just have granted the burst.
INITIAL_SLACK_FRACTION: Final = 0.25
# VMs that asked within this time compete for the next tokens.
ASKING_WINDOW_S: Final = 1.0

# A request waits this long for tokens unless its caller states another time. A call that opens a
# connection takes three more round trips, which are 70 ms between two regions.
DEFAULT_MAX_WAIT_S: Final = 0.4
# A frozen VM runs again after some seconds; its answer tells what it granted and refused.
CALL_TIMEOUT_MS: Final = 4_000
# An owner counts as lost when it has not answered for this many times the longest usual round trip,
# within these bounds. Answers that took over 400 ms counted as lost before, and a fallback refused
# 51,767 requests of a day within their rates.
LOST_ROUND_TRIPS: Final = 2.0
MIN_LOST_S: Final = 1.0
MAX_LOST_S: Final = 3.0
# Until the first answer of an owner, a request may wait for this many times as long as otherwise,
# and for at most DEFAULT_MAX_WAIT_S: the call opens a connection.
FIRST_WAIT_FACTOR: Final = 2.0
INITIAL_ROUND_TRIP_S: Final = 0.1
# Weight of a new round trip in their mean. With an eighth, as in TCP, the mean took 10 s to follow
# an owner that became slow.
ROUND_TRIP_WEIGHT: Final = 0.25
# An answer that took longer is counted as late.
LATE_ANSWER_S: Final = 0.4
# After a call to the owner failed, only the fallback is used for this time.
ASK_RETRY_S: Final = 0.25
# A peer without batches is asked for single loans for this time.
SINGLE_CALLS_S: Final = 10.0
# One request to the owner covers the demand of this time and of ROUND_TRIPS_AHEAD round trips.
BATCH_S: Final = 0.4
ROUND_TRIPS_AHEAD: Final = 1.5
# More tokens are requested in advance when those in hand cover less than this.
REFILL_AHEAD_S: Final = 0.1
# Spare tokens alone cause a call to their owner at most this often. Calls go to up to 12 owners.
SPARE_INTERVAL_S: Final = 0.5
# Spare tokens are granted from this fraction of what the bucket holds, in even parts to the VMs.
SPARE_FRACTION: Final = 1.0
# Unspent tokens expire after this time since they were requested. The owner counts them as unspent
# for that time of its own clock, which may run faster by MAX_CLOCK_RATE.
TOKEN_TTL_S: Final = 3.0
MAX_CLOCK_RATE: Final = 1.1
# The same for owners that do not count them.
UNTRACKED_TOKEN_TTL_S: Final = 1.4
# In any QUOTA_WINDOW_S, a workspace may exceed its rate and burst by this part of them and by
# FleetRequirements.quota_slack. Unspent tokens use this fraction of the excess; the rest is for
# changes of owners and the fallback. With 0.5, one answer late by 350 ms from an owner refused 3
# of 2,487 requests, as tokens count until the next call although they may have been spent.
QUOTA_WINDOW_S: Final = 5.0
QUOTA_OVERAGE: Final = 0.1
UNSPENT_FRACTION: Final = 0.6
DEMAND_WINDOW_S: Final = 2.0
GRANT_WINDOW_S: Final = 3.0
LONG_GRANT_WINDOW_S: Final = 10.0
# Without an owner, a VM goes on with this fraction of the rate that it was granted before, which
# halves every FALLBACK_HALF_LIFE_S: the other VMs may have another owner by then.
FALLBACK_FRACTION: Final = 0.5
FALLBACK_HALF_LIFE_S: Final = 4.0
# The fallback collects the tokens of this time, since requests come irregularly.
FALLBACK_BURST_S: Final = 1.0

# A fleet that crashed in part has usually restarted within this time.
SPLIT_GRACE_S: Final = 20.0
# Part of its share that the smaller part of a split fleet goes on with. It stays within the tenth
# by which a workspace may exceed its rate.
MINORITY_FRACTION: Final = 0.2
KNOWN_LATELY_S: Final = 60.0

MIN_RETRY_AFTER_MS: Final = 200
MAX_RETRY_AFTER_MS: Final = 3_000
# A VM refuses by the owner's last answer for at least and at most this long before it asks again.
# A workspace far above its rate would otherwise cause a call for each token.
MIN_REFUSAL_S: Final = 0.25
MAX_REFUSAL_S: Final = 2.0
# With tokens in hand and an empty bucket, calls were repeated as fast as they were answered.
MIN_REFILL_PAUSE_S: Final = 0.05
