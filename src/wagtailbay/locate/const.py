"""Constants of the locate slice."""

from typing import Final

ANSWER_TTL_MS: Final = 10_000
# A VM that announced its end serves this much longer than the oldest answer that names it.
LEAVING_MARGIN_MS: Final = 2_000
# A VM unheard for this long is left out; three heartbeats may be lost.
UNHEARD_AFTER_S: Final = 4.0
# The most VMs that an answer names of the same zone, of the region, and of other regions.
MAX_VMS_OF_GROUP: Final = 16
# Above this many VMs of one group, only those of one availability zone are hashed for a client.
MAX_HASHED_VMS: Final = 64
GROUPS_TTL_S: Final = 0.2
# Callers name any zone, so the cache is bounded.
MAX_CACHED_ZONES: Final = 128
