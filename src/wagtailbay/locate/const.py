"""Constants of the locate slice."""

from typing import Final

ANSWER_TTL_MS: Final = 10_000
# A VM that announced its end serves this much longer than the oldest answer that names it.
LEAVING_MARGIN_MS: Final = 2_000
# A VM unheard for this long is left out; three heartbeats may be lost.
HEARTBEAT_TIMEOUT_S: Final = 4.0
# Up to this many live VMs an answer names all.
MAX_UNFILTERED_VMS: Final = 16
# Of more VMs it names this many: up to 4 of the client's zone, with the rest of the region up to 6,
# and others. A client has two more places to go when a whole zone or region fails.
MAX_ZONE_VMS: Final = 4
MAX_REGION_VMS: Final = 6
MAX_ANSWER_VMS: Final = 8
# Above this many VMs of one group, only those of one availability zone are hashed for a client.
MAX_HASHED_VMS: Final = 64
GROUPS_TTL_S: Final = 0.2
# Callers name any zone, so the cache is bounded.
MAX_CACHED_ZONES: Final = 128
# Blocks that a map takes in between two turns of other tasks, about 1 ms.
BLOCKS_PER_SLICE: Final = 250
# A builder sorts the blocks of 2^18 IPv4 addresses, or of one IPv6 /32, at a time. Parts of 2^16
# addresses took 6 ms to bring into order among each other.
IPV4_BUCKET_SHIFT: Final = 18
IPV6_BUCKET_SHIFT: Final = 32
# IPv6 blocks are kept by their upper 64 bits; longer prefixes are not routed between networks.
IPV6_PREFIX_BITS: Final = 64
ZONE_BITS: Final = 16
PREFIX_LENGTH_BITS: Final = 7
PREFIX_LENGTH_MASK: Final = (1 << PREFIX_LENGTH_BITS) - 1
# The number of no zone.
UNMAPPED: Final = (1 << ZONE_BITS) - 1

# Clients that pick at random get the VMs of their own zone alone from this many on: one to go to
# when another fails.
MIN_NEAR_VMS: Final = 2
MAX_NEAR_VMS: Final = 64
# Such clients keep an answer for up to three times this long.
NEAR_TTL_MS: Final = 2_000
