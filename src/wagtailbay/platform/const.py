"""Names and limits of the users' platform."""

from typing import Final

# Kinds of objects that the platform defines, by the prefix under which the product keeps them.
KIND_OF_PREFIX: Final = {
    "routing/": "config",
    "targets/": "servers",
    "rollouts/": "rollouts",
    "evacuations/": "evacuations",
}
CONFIG_NAME: Final = "main"
# Kinds of the product's own objects begin with this, so that they meet no kind of the platform.
OWN_KIND_PREFIX: Final = "wagtailbay-"
VMS_KIND: Final = "wagtailbay-vms"

# A call without an answer for this long is given up; the platform answers in 4 ms, a slow one in
# about 0.25 s.
CALL_TIMEOUT_MS: Final = 1_500
# A watch is given this much longer than its own wait before its connection counts as dead.
WATCH_MARGIN_MS: Final = 700
# More pages than this are no listing of this product's kinds.
MAX_PAGES: Final = 200

REQUEST_ID: Final = "Request-Id"
DEADLINE: Final = "Deadline-Ms"
AFFINITY_COOKIE: Final = "Affinity-Key"
EXPECTED_TARGET: Final = "Expect-Instance"
WORKSPACE: Final = "Tenant"
KEY_SCHEME: Final = "Token"
NOT_RUN: Final = "Not-Executed"
LOAD: Final = "Server-Load"
RETRY_AFTER: Final = "Retry-After"
