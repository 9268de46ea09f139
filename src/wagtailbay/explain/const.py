"""Constants of the explain slice."""

from typing import Final

# Outcomes of the service's other requests are counted over this time before a log line.
RECENT_WINDOW_S: Final = 1.0
# Bounds memory for long logs; a VM finishes fewer requests than this in RECENT_WINDOW_S.
MAX_RECENT_REQUESTS: Final = 10_000

# Explanations of refusal codes; docs/api.md lists the codes.
REFUSAL_MEANINGS: Final = {
    "not_ready": "the VM had not received a configuration yet",
    "route_unknown": "the configuration in force has no route for the host and path",
    "key_unknown": "the configuration in force has no such key",
    "knowledge_stale": "the VM had no contact with the store or a peer recently enough to deny",
    "vm_overloaded": "the VM was overloaded and read requests too late to answer them in time",
    "vm_stopping": "the VM was stopping and passed nothing more on",
    "rate_exceeded": "the workspace had used up its rate, or the VM that owns it did not answer",
    "crashes_targets": "earlier requests like this one crashed targets",
    "no_target": "no target had the capacity to answer in time",
    "target_timeout": "a target received the request and did not answer in time",
    "response_late": "a large response waited for earlier ones on the connection for too long",
    "target_failed": "a target received the request and its connection failed",
    "malformed_request": "the request could not be parsed",
}
