"""Constants of the allotment slice."""

from typing import Final

FULL_SHARE_PPM: Final = 1_000_000
# Split equally among the fleet's possible VMs, so a new VM needs no message to serve a little.
FLOOR_RESERVE_PPM: Final = 100_000
LEDGER_TOTAL_PPM: Final = FULL_SHARE_PPM - FLOOR_RESERVE_PPM
LEDGER_PREFIX: Final = "ledgers/"

# A clock that runs 1% fast gains 1% more; tokens are refilled more slowly by as much.
REFILL_MARGIN: Final = 0.01

PLAN_INTERVAL_S: Final = 5.0
# How soon a new holder of the lease plans.
LEASE_CHECK_INTERVAL_S: Final = 0.25
# A share that a VM has been told to give up serves nobody until the next plan, so that one is soon.
FOLLOW_UP_INTERVAL_S: Final = 1.5
# Time over which plans smooth demand; loans follow shorter changes.
PLAN_SMOOTHING_S: Final = 30.0
# A VM from which nothing came for this long keeps what it has, and plans give it no more.
CONTACT_TIMEOUT_S: Final = 10.0
# A plan that moves less of a budget than this is not written.
MIN_REBALANCE_PPM: Final = 20_000
# A VM's grant is not lowered by a smaller part of itself; each decrease idles until confirmed.
MIN_DECREASE_FRACTION: Final = 0.2
# Part of the ledger that is divided equally, so that a VM with no demand yet can serve some.
EQUAL_FRACTION: Final = 0.1
# The same for a small budget: a VM whose share holds less than a token can neither use nor lend it,
# and every decrease of a share costs tokens that such a budget has few of.
SMALL_BUDGET_EQUAL_FRACTION: Final = 0.6
# A budget whose equal parts would hold fewer tokens than this is given to fewer VMs.
MIN_TOKENS_PER_VM: Final = 3.0
# A small budget stays with its holders unless another VM has this part of the rate more demand.
HOLDER_HYSTERESIS_FRACTION: Final = 0.75

# Longer than the longest loan as the lender counts it, with 1% between clocks (2 s x 1.1 x 1.01).
RECLAIM_ENDED_DELAY_S: Final = 3.0
RECLAIM_UNLISTED_DELAY_S: Final = 30.0

# A loan that the borrower needs no longer serves nobody until its term ends.
RATE_LOAN_TERM_MS: Final = 500
# Budgets with a burst of at least this time of their rate lend tokens only; their rate stays where
# the ledger has it. A smaller burst refills sooner than the room of a loan is free again. Lending
# the rate of regions, whose burst is half a second, refused half of the requests at 15/s.
TOKEN_LOAN_MIN_BURST_S: Final = 0.5
# Tokens are ordered when less than the first time of the expected demand is left, and up to the
# second. One round trip between regions takes 0.07 s, and a loan of tokens ends after 0.2 s.
BORROW_LOW_WATERMARK_S: Final = 0.1
BORROW_HIGH_WATERMARK_S: Final = 0.15
MAX_LOAN_TERM_MS: Final = 2_000
# The lender waits this much longer than the borrower, which covers clocks that differ by 1%.
LENDER_TERM_MARGIN: Final = 0.1
BORROW_TIMEOUT_MS: Final = 400
LENDER_BACKOFF_S: Final = 0.5
# A VM that did not answer is asked again after this time.
UNREACHABLE_LENDER_BACKOFF_S: Final = 1.0
BORROW_INTERVAL_S: Final = 0.02
# While no VM has anything to lend, one is looked for at this interval.
LENDER_SEARCH_INTERVAL_S: Final = 0.05
# A request waits for a lender that regains a token within this time; with one round trip between
# regions it is served within the longest wait.
MAX_LENDER_WAIT_S: Final = 0.12
MAX_LENDERS: Final = 4
# A VM that had nothing to lend is taken to regain at least this part of its rate.
MIN_REFILL_FRACTION: Final = 0.3
# Each answer without tokens halves what a VM is expected to regain, at most this many times.
MAX_EMPTY_ANSWERS: Final = 3
# A lender keeps its own demand and this much more; a borrower asks for as much more.
DEMAND_HEADROOM_FACTOR: Final = 1.2
# A renewal is asked for when this part of the term is left.
RENEWAL_LEAD_TIME_S: Final = 0.2

# A jump of demand must show within one loan term.
DEMAND_SMOOTHING_S: Final = 1.0
# A jump must show before the tokens of one VM, about 0.2 s of the whole rate, are spent.
FAST_DEMAND_SMOOTHING_S: Final = 0.1
# Random arrivals leave a silence of this many mean gaps in one of 20 cases.
CEASED_AFTER_MEAN_GAPS: Final = 3.0
DEMAND_PUBLISH_INTERVAL_S: Final = 1.0
DEMAND_REFRESH_S: Final = 10.0
DEMAND_TTL_MS: Final = 30_000
MIN_PUBLISHED_CHANGE: Final = 0.1
DEMAND_KIND: Final = "demand"
APPLIED_KIND: Final = "ledger_applied"
APPLIED_TTL_MS: Final = 30_000
APPLIED_REFRESH_S: Final = 10.0

TICK_INTERVAL_S: Final = 1.0
# After a longer stop of this VM's own loop, it uses the floor only.
LOOP_STALL_TIMEOUT_S: Final = 5.0
