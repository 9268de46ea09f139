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

# The first request to an owner also opens a connection, which takes three round trips of 70 ms
# between two regions.
ASK_TIMEOUT_MS: Final = 400
# A request that came after its VM had asked waits for the answer and asks once more.
MAX_ASKS: Final = 2
# After a request to the owner failed, only the fallback is used for this time.
ASK_RETRY_S: Final = 0.25
# One request to the owner covers the demand of this time.
BATCH_S: Final = 0.4
# More tokens are requested in advance when those in hand cover less than this.
REFILL_AHEAD_S: Final = 0.1
# Unspent tokens expire, so that those of a VM whose callers have moved away are not spent much
# later than the owner counted them.
TOKEN_TTL_S: Final = 1.0
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
