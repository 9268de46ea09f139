"""Constants for locating entry VMs."""

from typing import Final

ANSWER_TTL_MS: Final = 10_000
# A leaving VM keeps serving for this long after the last answer that names it expires.
LEAVING_MARGIN_MS: Final = 2_000
# VMs without a heartbeat for this long are excluded; tolerates three lost heartbeats.
HEARTBEAT_TIMEOUT_S: Final = 4.0
# In fleets of up to this many live VMs, an answer names all of them.
MAX_UNFILTERED_VMS: Final = 16
# In larger fleets, an answer names up to 4 VMs of the client's zone, up to 6 including the rest of
# the region, and up to 8 in total. If a whole zone or region fails, a client still has two VMs
# outside it.
MAX_ZONE_VMS: Final = 4
MAX_REGION_VMS: Final = 6
MAX_ANSWER_VMS: Final = 8
# In groups of more VMs, only those of one availability zone are hashed for a client.
MAX_HASHED_VMS: Final = 64
GROUPS_TTL_S: Final = 0.2
# Callers can request any zone name, so the cache is bounded.
MAX_CACHED_ZONES: Final = 128
# Blocks processed before other tasks get to run, about 1 ms.
BLOCKS_PER_SLICE: Final = 250
# A bucket covers 2^18 IPv4 addresses, or one IPv6 /32, and is sorted at once. With 2^16 addresses
# per bucket, sorting the buckets themselves took 6 ms.
IPV4_BUCKET_SHIFT: Final = 18
IPV6_BUCKET_SHIFT: Final = 32
# Only the upper 64 bits of IPv6 blocks are stored; longer prefixes are not routed between networks.
IPV6_PREFIX_BITS: Final = 64
ZONE_BITS: Final = 16
PREFIX_LENGTH_BITS: Final = 7
PREFIX_LENGTH_MASK: Final = (1 << PREFIX_LENGTH_BITS) - 1
# Reserved zone index that means "no zone".
UNMAPPED: Final = (1 << ZONE_BITS) - 1

# Clients that pick at random get only VMs of their own zone if it has at least this many, so that
# another VM remains when one fails.
MIN_NEAR_VMS: Final = 2
MAX_NEAR_VMS: Final = 64
# These clients cache an answer for up to three times this long.
NEAR_TTL_MS: Final = 2_000
