"""Constants of the membership slice."""

from typing import Final

# A full mesh up to this many VMs; a larger fleet is divided into cells.
FULL_MESH_VMS: Final = 16
# About the root of the 520 VMs of two years, which leaves a delegate as many peers outside its cell
# as inside.
MAX_CELL_VMS: Final = 24
# Two, so that a cell stays heard while one of them is replaced.
DELEGATES_PER_CELL: Final = 2
WATCHERS_PER_REGION: Final = 2

HEARTBEAT_S: Final = 1.0
# A VM that a peer calls calls back itself once its proof of contact is this old. At rest it is at
# most 1.1 s old; the quorum needs one of the last 3 s.
CALL_BACK_AFTER_S: Final = 1.5
# Two VMs' clocks may measure a duration differently by a tenth, as for loans.
MIN_CLOCK_RATE_RATIO: Final = 0.9
# At most 10 calls a second to one peer, however often something changes.
MIN_CALL_INTERVAL_S: Final = 0.1
EXCHANGE_TIMEOUT_MS: Final = 1_000
# A connection whose packets were lost for minutes resumes only after TCP's doubled pauses.
RECONNECT_AFTER_FAILURES: Final = 3

SERVER_THREADS: Final = 4
EXCHANGE_THREADS: Final = 16
BORROW_THREADS: Final = 4
# Calls that wait for a server thread; more are refused at once.
MAX_CONCURRENT_CALLS: Final = 64

MAX_MESSAGE_BYTES: Final = 8_000_000
# Entries in one message; an object holds up to 1 MB, and at least one must fit.
MAX_DELTA_BYTES: Final = 1_500_000
MAX_SNAPSHOT_BYTES: Final = 6_000_000
MAX_FACT_BYTES: Final = 65_536
MAX_FACTS_BYTES: Final = 1_500_000
# Values kept with their bytes, at most about 0.5 MB in each direction.
MAX_CACHED_FACTS: Final = 1_024
MAX_CACHED_FACT_BYTES: Final = 512
MAX_FACT_TTL_MS: Final = 7 * 86_400_000
MAX_FACTS_PER_MESSAGE: Final = 500
MAX_FACTS: Final = 20_000
MAX_MEMBERS: Final = 2_000

# These facts concern every VM and also pass through VMs that are neighbours of both.
RELAYED_FACT_KINDS: Final = frozenset({"stop", "stop_rollout", "crash", "vm_list"})
VM_LIST_KIND: Final = "vm_list"

# Replicas of these prefixes may lag by a heartbeat; the lease is rewritten every 2 s.
NON_URGENT_PREFIXES: Final = ("leases/",)

# A VM answers for the fleet while its last contact is not older than this.
CONTACT_TIMEOUT_S: Final = 4.0
# News of a VM in another cell passes two more VMs, each of which may be a heartbeat late.
INDIRECT_CONTACT_TIMEOUT_S: Final = 5.5
# With 75 VMs the roster takes 17 us to go through, which a request asks for several times.
LIVE_VIEW_INTERVAL_S: Final = 0.2
# Contacts of the VMs that a VM hears itself are repeated to each peer this often.
CONTACTS_INTERVAL_S: Final = 5.0
# A VM that nobody has heard for this long is dropped from the roster.
MEMBER_RETENTION_S: Final = 600.0
EXPIRY_INTERVAL_S: Final = 5.0

# A peer counts towards the quorum while its last exchange is not older than this.
QUORUM_CONTACT_TIMEOUT_S: Final = 3.0
# Isolation limits of design 5.1; shares may be reclaimed 30 s after the last exchange.
ISOLATION_TIMEOUT_S: Final = 20.0
LOOP_STALL_TIMEOUT_S: Final = 5.0
HOUSEKEEPING_INTERVAL_S: Final = 0.5

VM_LIST_INTERVAL_S: Final = 10.0
VM_LIST_TTL_MS: Final = 3_600_000
# An unchanged list is published again well before the fact expires.
VM_LIST_REPUBLISH_S: Final = 900.0

# Every VM's certificate holds this DNS name; the VMs' addresses change too often for it.
CERTIFICATE_NAME: Final = "wagtailbay-peer"
SERVICE_NAME: Final = "wagtailbay.Peer"
EXCHANGE_METHOD: Final = "Exchange"
BORROW_METHOD: Final = "Borrow"
REGISTRATION_PREFIX: Final = "vms/"
REGISTRATION_RETRY_S: Final = 1.0
