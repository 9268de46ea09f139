"""Constants of the gateway slice."""

from typing import Final

# A VM learns the configuration within about a second of its start.
NOT_READY_RETRY_AFTER_MS: Final = 700
# A caller that sets no deadline is served for as long as its route allows.
CONNECT_TIMEOUT_MS: Final = 400
# With less time than this left, another try could not be answered.
MIN_RETRY_TIME_MS: Final = 60
# Answers up to this size are held until they are complete, so that one that breaks off can be
# replaced by another target's.
MAX_BUFFERED_RESPONSE_BYTES: Final = 262_144
# Answers to earlier requests that are read over before a connection is given up.
MAX_SKIPPED_RESPONSES: Final = 2
# A request that must not run twice is sent on a kept connection only this soon after its last use;
# later the target may be closing it, and what is sent then has an unknown outcome.
MAX_IDLE_NON_IDEMPOTENT_S: Final = 1.5
# Kept connections are given up well before the target's own idle timeout, which starts at 10 s.
MAX_IDLE_S: Final = 6.0
# Time between an answer in the target and this VM's own timeout, in which the caller is answered.
RESPONSE_MARGIN_MS: Final = 15.0
# Knowledge of the configuration older than this does not prove that a key or a route is missing.
MAX_CONFIG_AGE_FOR_DENIAL_MS: Final = 7_000.0
STALE_CONFIG_RETRY_AFTER_MS: Final = 1_000
# A request that crashed targets is refused for long; its caller should not come back soon.
QUARANTINE_RETRY_AFTER_MS: Final = 10_000
# The fleet's retries for a service may reach a fifth of the requests for it; the rest of that is
# left for the callers that another VM sees.
RETRY_RATIO: Final = 0.15
# Retries for a service that all VMs together may save up, from the users' bound of 60 beyond the
# fifth; each VM can make at least one.
FLEET_RETRY_CAPACITY: Final = 60.0
MIN_RETRY_CAPACITY: Final = 1.0
INITIAL_RETRY_TOKENS: Final = 1.0
# A VM that reads requests so late that this part of their latency goal is over refuses them: it
# cannot answer in good time, and the rest of its work would be as late.
OVERLOAD_GOAL_FRACTION: Final = 0.5
OVERLOAD_RETRY_AFTER_MS: Final = 400
