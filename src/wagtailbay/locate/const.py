"""Constants of the locate slice."""

from typing import Final

ANSWER_TTL_MS: Final = 10_000
# A VM that announced its end serves this much longer than the oldest answer that names it.
LEAVING_MARGIN_MS: Final = 2_000
# A VM unheard for this long is left out; three heartbeats may be lost.
UNHEARD_AFTER_S: Final = 4.0
# Up to this many live VMs an answer names all.
MAX_ALL_NAMED: Final = 16
# Of more VMs it names this many: up to 4 of the client's zone, with the rest of the region up to 6,
# and others. A client has two more places to go when a whole zone or region fails.
MAX_NAMED_OF_ZONE: Final = 4
MAX_NAMED_OF_REGION: Final = 6
MAX_NAMED: Final = 8
# Above this many VMs of one group, only those of one availability zone are hashed for a client.
MAX_HASHED_VMS: Final = 64
GROUPS_TTL_S: Final = 0.2
# Callers name any zone, so the cache is bounded.
MAX_CACHED_ZONES: Final = 128
# Blocks that a map takes in between two turns of other tasks, about 1 ms.
SLICE_BLOCKS: Final = 250
