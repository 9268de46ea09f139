"""Constants of the allotment slice."""

from typing import Final

FULL_SHARE_PPM: Final = 1_000_000
# Divided equally among max_vms VMs, so a new VM can admit some requests before any exchange.
FLOOR_RESERVE_PPM: Final = 100_000
LEDGER_TOTAL_PPM: Final = FULL_SHARE_PPM - FLOOR_RESERVE_PPM
LEDGER_PREFIX: Final = "ledgers/"

# Lowers the refill rate, because a clock that runs 1% fast would gain 1% more tokens.
REFILL_MARGIN: Final = 0.01

PLAN_INTERVAL_S: Final = 5.0
# Bounds the time until a new lease holder plans.
LEASE_CHECK_INTERVAL_S: Final = 0.25
# Applies while decreases are pending, since a share being given up is unused until the next plan.
FOLLOW_UP_INTERVAL_S: Final = 1.5
# Window over which plans smooth demand; loans cover shorter changes.
PLAN_SMOOTHING_S: Final = 30.0
# A VM without contact for this long keeps its shares, but plans do not raise them.
CONTACT_TIMEOUT_S: Final = 10.0
# Plans that move less of a budget than this are not written.
MIN_REBALANCE_PPM: Final = 20_000
# Minimum decrease as a fraction of the grant, since a decreased share is unused until confirmed.
MIN_DECREASE_FRACTION: Final = 0.2
# Fraction of the ledger divided equally, so a VM without previous demand can admit some requests.
EQUAL_FRACTION: Final = 0.1
# The same for a small budget. A VM can neither use nor lend a share of less than one token, and
# every decrease of a share loses tokens, of which a small budget has few.
SMALL_BUDGET_EQUAL_FRACTION: Final = 0.6
# If equal shares would hold fewer tokens than this, a small budget is granted to fewer VMs.
MIN_TOKENS_PER_VM: Final = 3.0
# A VM displaces a holder of a small budget only if its demand exceeds the holder's by this fraction
# of the rate.
HOLDER_HYSTERESIS_FRACTION: Final = 0.75

# Exceeds the longest loan term on the lender's side with 1% clock skew (2 s x 1.1 x 1.01).
RECLAIM_ENDED_DELAY_S: Final = 3.0
RECLAIM_UNLISTED_DELAY_S: Final = 30.0

# Short, because a rate loan that the borrower no longer needs is unused until its term ends.
RATE_LOAN_TERM_MS: Final = 500
# Budgets whose burst lasts at least this long at their rate lend only tokens, not their rate. A
# smaller burst refills before the capacity of a token loan is free again. With rate loans, region
# budgets, whose burst is half a second, refused half of the requests at 15/s.
TOKEN_LOAN_MIN_BURST_S: Final = 0.5
# Tokens are borrowed when they cover less than the low watermark of expected demand, up to the high
# watermark. A round trip between regions takes 0.07 s, and a token loan ends after 0.2 s.
BORROW_LOW_WATERMARK_S: Final = 0.1
BORROW_HIGH_WATERMARK_S: Final = 0.15
MAX_LOAN_TERM_MS: Final = 2_000
# Fraction by which the lender extends the term, which covers clocks that differ by 1%.
LENDER_TERM_MARGIN: Final = 0.1
BORROW_TIMEOUT_MS: Final = 400
LENDER_BACKOFF_S: Final = 0.5
# Time for which a VM that did not answer is not asked.
UNREACHABLE_LENDER_BACKOFF_S: Final = 1.0
BORROW_INTERVAL_S: Final = 0.02
# Search interval while no VM has anything to lend.
LENDER_SEARCH_INTERVAL_S: Final = 0.05
# A request waits for a lender that regains a token within this time. Including one round trip
# between regions, this stays within the maximum wait of a request.
MAX_LENDER_WAIT_S: Final = 0.12
MAX_LENDERS: Final = 4
# Minimum fraction of its rate at which a VM is assumed to regain tokens that it can lend.
MIN_REFILL_FRACTION: Final = 0.3
# Each empty answer halves the rate at which a VM is expected to regain tokens, up to this many
# times.
MAX_EMPTY_ANSWERS: Final = 3
# Factor applied to demand: lenders keep, and borrowers request, 20% more than the demand.
DEMAND_HEADROOM_FACTOR: Final = 1.2
# Remaining term at which a rate loan is renewed.
RENEWAL_LEAD_TIME_S: Final = 0.2

# Short enough for a jump in demand to show within one loan term.
DEMAND_SMOOTHING_S: Final = 1.0
# A jump must show before one VM's tokens are spent, which cover about 0.2 s of the whole rate.
FAST_DEMAND_SMOOTHING_S: Final = 0.1
# Random arrivals leave a gap of three times the mean with a probability of 1 in 20.
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
# After a longer gap between ticks, this VM uses only its floor.
LOOP_STALL_TIMEOUT_S: Final = 5.0
