"""Constants of the quota slice."""

from typing import Final

DEMAND_KIND: Final = "workspace_demand"
DEMAND_INTERVAL_S: Final = 0.5
# The last known demand of an unreachable VM counts for this long, because an isolated VM continues
# to admit requests with its last share.
DEMAND_TTL_MS: Final = 6_000
DEMAND_WINDOW_S: Final = 2.0
# Age at which a VM's own demand is compared with that of the others, which arrives up to one
# publishing interval and one heartbeat late.
OWN_DEMAND_DELAY_S: Final = 1.0
# Fraction of the rate that is divided equally, so that a VM without demand so far can admit the
# first requests of a workspace.
EQUAL_FRACTION: Final = 0.15
# Limits the growth of a share, so that other VMs learn of the higher demand and reduce theirs.
MAX_SHARE_GROWTH_PER_S: Final = 0.4
# Fraction of the burst that is divided among the VMs. The rest allows for tokens that are granted
# twice while shares move between VMs.
BURST_FRACTION: Final = 0.6
# Minimum bucket capacity of a VM, however small its share. It falls to the large-fleet value as the
# fleet grows, so that all VMs together hold little more than the requests allowed beyond the rate.
SMALL_FLEET_VM_MIN_BURST: Final = 2.0
FLEET_MIN_BURST_FACTOR: Final = 1.2
LARGE_FLEET_VM_MIN_BURST: Final = 1.0
# A VM that hears no peer for longer than this keeps its last share.
CONTACT_TIMEOUT_S: Final = 2.5
# After this time without contact the other VMs use the share, and the VM keeps only a fraction.
SHARE_REASSIGNED_AFTER_S: Final = 5.0
REASSIGNED_SHARE_FRACTION: Final = 0.5
# Prefix of the budget names in loan requests, followed by the workspace name.
BUDGET_PREFIX: Final = "workspace_rate:"
# A loan of one token carries no part of the rate, but the loan message requires a non-zero share.
TOKEN_SHARE_PPM: Final = 1
# Covers all loan requests for one caller together, so that a refusal is not delayed for long. A
# round trip between two regions takes 70 ms.
BORROW_TIMEOUT_MS: Final = 150
MAX_LENDERS_ASKED: Final = 3
# Shares add up to more than one while demand moves between VMs, so unused tokens are lent only
# while the workspace's demand is well below its rate.
MAX_BORROW_DEMAND_FRACTION: Final = 0.5
# After an unsuccessful attempt to borrow, the workspace's requests are refused without another
# attempt for this time.
BORROW_BACKOFF_S: Final = 0.25
MIN_RETRY_AFTER_MS: Final = 200
MAX_RETRY_AFTER_MS: Final = 3_000
