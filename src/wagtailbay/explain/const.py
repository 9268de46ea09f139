"""Constants of the explain slice."""

from typing import Final

# How other requests of a service fared is counted over this time before the request's line.
RECENT_WINDOW_S: Final = 1.0
# A log may hold hours; more requests than a VM ends in RECENT_WINDOW_S need not be remembered.
MAX_RECENT_REQUESTS: Final = 10_000

# What a code of a refusal means, and what to look at next; docs/api.md lists the codes.
REFUSAL_MEANINGS: Final = {
    "not_ready": "the VM knew no configuration yet",
    "route_unknown": "the configuration in force has no route for the host and path",
    "key_unknown": "the configuration in force has no such key",
    "knowledge_stale": "the VM had not heard from the store or a peer for too long to deny",
    "vm_overloaded": "the VM read requests too late to answer them in good time",
    "rate_exceeded": "the workspace had used up this VM's share of its rate",
    "crashes_targets": "earlier requests like this one crashed targets",
    "no_target": "no target had room for an answer in good time",
    "target_timeout": "a target had the request and did not answer in time",
    "target_failed": "a target had the request and its connection broke",
    "malformed_request": "the request's own fields could not be read",
}
