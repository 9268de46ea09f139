"""Constants of the gateway."""

from typing import Final

# A VM receives its configuration within about a second of starting.
NOT_READY_RETRY_AFTER_MS: Final = 700
CONNECT_TIMEOUT_MS: Final = 400
# With less time remaining, no target could respond to another attempt.
MIN_RETRY_TIME_MS: Final = 60
# Responses up to this size are buffered until complete, so that the request can be retried at
# another target if the response is truncated.
MAX_BUFFERED_RESPONSE_BYTES: Final = 262_144
# Idle time after which a pooled connection is not used for a non-idempotent request. The target
# may be closing a connection that has been idle for longer, which leaves the outcome of a request
# sent on it unknown.
MAX_IDLE_NON_IDEMPOTENT_S: Final = 1.5
# Well below the idle timeout of targets, which is at least 10 s.
MAX_IDLE_S: Final = 6.0
# Part of the request's timeout that is reserved for sending the response to the caller.
RESPONSE_MARGIN_MS: Final = 15.0
# Added to the time without contact and to that in which a configuration takes effect. With an older
# configuration, a missing key or route may just not have been received yet.
DENIAL_MARGIN_MS: Final = 500.0
STALE_CONFIG_RETRY_AFTER_MS: Final = 1_000
# Long, because requests that crash targets stay quarantined for a long time.
QUARANTINE_RETRY_AFTER_MS: Final = 10_000
# Fraction of the retries allowed to the fleet for each request that a VM uses for its own requests.
# The rest is left for callers that another VM serves.
OWN_RETRY_FRACTION: Final = 0.75
# Each VM can always accumulate one retry, however small its part of the fleet's.
MIN_RETRY_CAPACITY: Final = 1.0
INITIAL_RETRY_TOKENS: Final = 1.0
# Fraction of a route's latency goal. If requests wait for longer than this before they are read,
# the VM refuses them: it would exceed the goal, and its other work would be as late.
OVERLOAD_GOAL_FRACTION: Final = 0.5
OVERLOAD_RETRY_AFTER_MS: Final = 400
# The other VMs can serve the request at once.
STOPPING_RETRY_AFTER_MS: Final = 0
# Messages of h11 contain what a target sent.
MAX_LOGGED_FAILURE_CHARACTERS: Final = 300

# A request waits for a token of its workspace's rate for this fraction of its latency goal. Holding
# it for an eighth of its goal does no harm, and two round trips between regions take 140 ms.
TOKEN_WAIT_FRACTION: Final = 0.125
MIN_TOKEN_WAIT_MS: Final = 200.0
MAX_TOKEN_WAIT_MS: Final = 1_000.0
MAX_TOKEN_WAIT_DEADLINE_FRACTION: Final = 0.1
