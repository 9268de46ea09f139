"""Names and limits of the users' platform."""

from typing import Final

# Kinds of objects that the platform defines, by the prefix under which the product keeps them.
KIND_BY_PREFIX: Final = {
    "routing/": "config",
    "targets/": "servers",
    "rollouts/": "rollouts",
    "evacuations/": "evacuations",
}
CONFIG_NAME: Final = "main"
# Kinds of the product's own objects begin with this, so that they meet no kind of the platform.
PRODUCT_KIND_PREFIX: Final = "wagtailbay-"
VMS_KIND: Final = "wagtailbay-vms"

# A call without an answer for this long is given up; the platform answers in 4 ms, a slow one in
# about 0.25 s.
CALL_TIMEOUT_MS: Final = 1_500
# A watch is given this much longer than its own wait before its connection counts as dead.
WATCH_TIMEOUT_MARGIN_MS: Final = 700
# More pages than this are no listing of this product's kinds.
MAX_PAGES: Final = 200

REQUEST_ID_HEADER: Final = "Request-Id"
DEADLINE_HEADER: Final = "Deadline-Ms"
AFFINITY_COOKIE_NAME: Final = "Affinity-Key"
EXPECTED_TARGET_HEADER: Final = "Expect-Instance"
WORKSPACE_HEADER: Final = "Tenant"
AUTHORIZATION_SCHEME: Final = "Token"
NOT_RUN_HEADER: Final = "Not-Executed"
LOAD_HEADER: Final = "Server-Load"
RETRY_AFTER_HEADER: Final = "Retry-After"
