"""Constants of the quota slice."""

from typing import Final

DEMAND_KIND: Final = "workspace_demand"
DEMAND_INTERVAL_S: Final = 0.5
# The demand of a VM that is no longer heard counts for this long, so that a VM that was cut off
# and goes on with its last share is left its part.
DEMAND_TTL_MS: Final = 6_000
DEMAND_WINDOW_S: Final = 2.0
# What others have published is known after up to an interval and a heartbeat.
OWN_DEMAND_DELAY_S: Final = 1.0
# Part of the rate that is divided evenly, so that a VM admits the first requests of a workspace.
EQUAL_FRACTION: Final = 0.15
# A share grows at most by this in a second: what a VM takes more, the others must have heard of.
MAX_SHARE_GROWTH_PER_S: Final = 0.4
# Part of the burst that the VMs hold together; shares that move bring some of it twice.
BURST_FRACTION: Final = 0.6
# Each VM holds at least so many tokens, however small its share; in a large fleet fewer, so that
# all together hold no more than the users' allowance of 20 requests and a little.
SMALL_FLEET_VM_MIN_BURST: Final = 2.0
FLEET_MIN_BURST: Final = 24.0
LARGE_FLEET_VM_MIN_BURST: Final = 1.0
# A VM that hears no peer for this long keeps to the share that it had before.
CONTACT_TIMEOUT_S: Final = 2.5
# After this long the others have taken its share over, and it keeps only a part of it.
SHARE_REASSIGNED_AFTER_S: Final = 5.0
REASSIGNED_SHARE_FRACTION: Final = 0.5
# Budgets of loans are named by this and the workspace.
BUDGET_PREFIX: Final = "workspace_rate:"
# A loan of one token asks for no part of the rate; the messages want a share that is not 0.
TOKEN_SHARE_PPM: Final = 1
# For all VMs asked together, since a caller that is to be refused must hear it soon. An exchange
# between two regions takes 70 ms.
BORROW_TIMEOUT_MS: Final = 150
MAX_LENDERS_ASKED: Final = 3
# Shares that follow demand add up to more than one while it moves. What is left over at a VM may be
# lent only while the workspace asks for well less than its rate.
MAX_BORROW_DEMAND_FRACTION: Final = 0.5
# After a request that no VM lent for, the next ones of the workspace are refused at once.
BORROW_BACKOFF_S: Final = 0.25
MIN_RETRY_AFTER_MS: Final = 200
MAX_RETRY_AFTER_MS: Final = 3_000
