"""Constants of the membership slice."""

from typing import Final

# Largest fleet that forms a full mesh; a larger one is divided into cells.
FULL_MESH_VMS: Final = 16
# About the square root of the 520 VMs expected in two years, so that a delegate has as many peers
# outside its cell as inside it.
MAX_CELL_VMS: Final = 24
# With two delegates a cell stays connected while one of them is replaced.
DELEGATES_PER_CELL: Final = 2
WATCHERS_PER_REGION: Final = 2
# A watcher without direct contact for this long is replaced; an entry VM must refuse a withdrawn
# key within 5 s.
WATCHER_SILENCE_S: Final = 1.5

HEARTBEAT_S: Final = 1.0
# The called VM of a pair starts to call too once its last proven contact is this old. With regular
# heartbeats that contact is at most 1.1 s old; the quorum needs one within the last 3 s.
CALL_BACK_AFTER_S: Final = 1.5
# Durations measured by the clocks of two VMs may differ by a tenth, as assumed for loans.
MIN_CLOCK_RATE_RATIO: Final = 0.9
# Limits the calls to one peer to 10 per second, however often state changes.
MIN_CALL_INTERVAL_S: Final = 0.1
EXCHANGE_TIMEOUT_MS: Final = 1_000
# After minutes of packet loss, TCP's exponential backoff delays the recovery of a connection; a new
# connection does not wait for it.
RECONNECT_AFTER_FAILURES: Final = 3

SERVER_THREADS: Final = 4
EXCHANGE_THREADS: Final = 16
# Calls that run or wait for a server thread; gRPC rejects further calls at once. After a freeze of
# some seconds, an owner finds an exchange and a token request of each of up to 88 VMs.
MAX_CONCURRENT_CALLS: Final = 256

MAX_MESSAGE_BYTES: Final = 8_000_000
# Total size of the entries in one message; an object has up to 1 MB, and at least one must fit.
MAX_DELTA_BYTES: Final = 1_500_000
MAX_SNAPSHOT_BYTES: Final = 6_000_000
# A peer that states another digest in this many messages although it has all objects gets all of
# them at once, which tells it what no longer exists.
DIGESTS_BEFORE_SNAPSHOT: Final = 3
MAX_FACT_BYTES: Final = 65_536
MAX_FACTS_BYTES: Final = 1_500_000
# Fact values cached with their encoding: at most about 0.5 MB for each direction.
MAX_CACHED_FACTS: Final = 1_024
MAX_CACHED_FACT_BYTES: Final = 512
MAX_FACT_TTL_MS: Final = 7 * 86_400_000
MAX_FACTS_PER_MESSAGE: Final = 500
MAX_FACTS: Final = 20_000
MAX_MEMBERS: Final = 2_000
MAX_TOKENS_REQUESTED: Final = 100_000
MAX_GRANT_WAIT_MS: Final = 60_000
MAX_TOKEN_DEMANDS: Final = 2_000

# Facts of these kinds concern every VM and are also relayed by VMs that did not publish them.
RELAYED_FACT_KINDS: Final = frozenset(
    {"stop", "stop_rollout", "crash", "vm_list", "target_leaving"}
)
# Facts of these kinds concern the VMs of one region only and are not sent to other regions.
REGIONAL_FACT_KINDS: Final = frozenset({"occupancy"})
# Facts of these kinds are added up by the delegates of a divided fleet and sent to no other VM.
DELEGATE_FACT_KINDS: Final = frozenset({"usage", "usage_cell"})
VM_LIST_KIND: Final = "vm_list"

# Changes under these prefixes may wait for the next heartbeat; the lease is rewritten every 2 s.
NON_URGENT_PREFIXES: Final = ("leases/",)

# A VM counts as live until its last contact is this old.
CONTACT_TIMEOUT_S: Final = 4.0
# Contact times from another cell are relayed by two VMs, each of which may add a heartbeat.
INDIRECT_CONTACT_TIMEOUT_S: Final = 5.5
# Scanning a roster of 75 VMs takes 17 us, and each request needs the result several times.
LIVE_VIEW_INTERVAL_S: Final = 0.2
# How often a VM repeats to each peer the contact times of the VMs it is in direct contact with.
CONTACTS_INTERVAL_S: Final = 5.0
# A VM is removed from the roster when no VM has been in contact with it for this long.
MEMBER_RETENTION_S: Final = 600.0
EXPIRY_INTERVAL_S: Final = 5.0

# A peer counts towards the quorum while its last exchange is not older than this.
QUORUM_CONTACT_TIMEOUT_S: Final = 3.0
# Isolation limits from section 5.1 of the design; other VMs may reclaim shares 30 s after the last
# exchange.
ISOLATION_TIMEOUT_S: Final = 20.0
LOOP_STALL_TIMEOUT_S: Final = 5.0
HOUSEKEEPING_INTERVAL_S: Final = 0.5

VM_LIST_INTERVAL_S: Final = 10.0
VM_LIST_TTL_MS: Final = 3_600_000
# An unchanged list is republished well before its fact expires.
VM_LIST_REPUBLISH_S: Final = 900.0

# DNS name in the certificate of every VM; the addresses of VMs change too often to be listed there.
CERTIFICATE_NAME: Final = "wagtailbay-peer"
SERVICE_NAME: Final = "wagtailbay.Peer"
EXCHANGE_METHOD: Final = "Exchange"
BORROW_METHOD: Final = "Borrow"
TOKENS_METHOD: Final = "RequestTokens"
REGISTRATION_PREFIX: Final = "vms/"
REGISTRATION_RETRY_S: Final = 1.0
REGISTRATION_SPREAD_S: Final = 2.0
# Metadata of a refusal: the newest run of the caller that the callee knows.
KNOWN_INCARNATION_KEY: Final = "known-incarnation"
# A run that peers have accepted for longer than this does not renumber itself: a later run with its
# name is another process.
RENUMBER_WINDOW_S: Final = 10.0
MAX_INCARNATION: Final = 2**63 - 2
