"""Names and limits of the users' platform."""

from typing import Final

# Object kinds that the platform defines, keyed by the product's key prefix for their objects.
KIND_BY_PREFIX: Final = {
    "routing/": "config",
    "targets/": "servers",
    "rollouts/": "rollouts",
    "evacuations/": "evacuations",
}
CONFIG_NAME: Final = "main"
# Prefix of the kinds of the product's own objects, to avoid collisions with platform kinds.
PRODUCT_KIND_PREFIX: Final = "wagtailbay-"
VMS_KIND: Final = "wagtailbay-vms"

# Timeout of a call; the platform usually responds in 4 ms, and in about 0.25 s when it is slow.
CALL_TIMEOUT_MS: Final = 1_500
# A watch may exceed its requested wait by this much before its connection counts as dead.
WATCH_TIMEOUT_MARGIN_MS: Final = 700
# A listing with more pages is rejected; the kinds that this product reads never have as many.
MAX_PAGES: Final = 200
# A page or a batch of events has about 1 MB; one object may have another 1 MB.
MAX_RESPONSE_BYTES: Final = 8 * 1_048_576

ERA_HEADER: Final = "Store-Era"
REQUEST_ID_HEADER: Final = "Request-Id"
DEADLINE_HEADER: Final = "Deadline-Ms"
AFFINITY_COOKIE_NAME: Final = "Affinity-Key"
EXPECTED_TARGET_HEADER: Final = "Expect-Instance"
WORKSPACE_HEADER: Final = "Tenant"
AUTHORIZATION_SCHEME: Final = "Token"
NOT_RUN_HEADER: Final = "Not-Executed"
SEAL_HEADER: Final = "Response-Seal"
LOAD_HEADER: Final = "Server-Load"
RETRY_AFTER_HEADER: Final = "Retry-After"
LEAVING_HEADER: Final = "Server-Leaving"
# A target that asks for a longer pause gets this one.
MAX_TARGET_PAUSE_MS: Final = 600_000.0
# Range of the pace that targets report. A target a hundred times slower than usual gets no more
# requests than one that is slower still.
MIN_PACE_PERCENT: Final = 10.0
MAX_PACE_PERCENT: Final = 10_000.0
