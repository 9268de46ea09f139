"""Constants of the usage slice."""

from typing import Final

USAGE_KIND: Final = "usage"
USAGE_CELL_KIND: Final = "usage_cell"
USAGE_CLOCK_KIND: Final = "usage_clock"
USAGE_LEASE_KIND: Final = "usage_lease"
DUTY_KEY: Final = "usage/duty"

# Larger values in facts and in the record are malformed. The time is in the year 2286.
MAX_UNIX_MS: Final = 10**13
MAX_REQUESTS: Final = 10**12
# JSON readers that use floating-point numbers read integers up to this one exactly.
MAX_TOKEN: Final = 2**53 - 1
# Tokens follow true time and rise by 1 with each holder beyond that. One this far ahead of it, in
# a fact, is a fault and must not be continued in the stored record.
MAX_TOKEN_LEAD_MS: Final = 86_400_000

# Counts are published this often and sent with the next heartbeat, which is at most a second later.
# A VM that is killed loses what it counted in that time. The newest fact replaces the one before,
# so the interval does not change the size of the messages.
EXCHANGE_INTERVAL_S: Final = 0.5
# A window is closed this long after its end, since attempts are recorded with a small delay.
CLOSE_DELAY_S: Final = 0.1
CLOCK_TTL_MS: Final = 5_000
# A change of the estimated offset by more than MAX_OFFSET_STEP_S takes effect only after this many
# estimates in a row. A VM that resumes after a freeze reads messages that have waited, and for one
# interval these make all other clocks appear late.
MAX_OFFSET_STEP_S: Final = 0.2
STEP_CONFIRMATIONS: Final = 3
OFFSET_CALIBRATION_S: Final = 5.0

# Fractions of the time from a window's end until its report is due.
SETTLE_FRACTION: Final = 0.25
LATEST_FRACTION: Final = 0.6
# Counts are kept for this many windows beyond the time until the report is due.
KEPT_WINDOWS: Final = 2
# Characters of a run's id that tell it from the other runs of its VM in the last few windows.
RUN_NAME_CHARS: Final = 4
MAX_OPEN_WINDOWS: Final = 12
MAX_LOGGED_VMS: Final = 8

# Fractions of the lease time less the margin for freezes. A renewal that takes longer than the
# remaining 0.27 delays the calls.
RENEW_FRACTION: Final = 1 / 3
CALL_TIMEOUT_FRACTION: Final = 0.4
# Fraction of the lease time after which a holder that was not heard of counts as silent.
SILENCE_FRACTION: Final = 0.75
LEASE_TICK_S: Final = 0.2
# A process whose exchanges were further apart than this was stopped, or its machine is overloaded.
# It gets the counts of the others within two heartbeats and one exchange.
RESUME_GAP_S: Final = 1.0
CATCH_UP_S: Final = 2.5
WRITE_RETRY_S: Final = 0.25
READ_RETRY_S: Final = 1.0
# VMs that may take the duty over; each one waits this much longer than the one before it.
MAX_CANDIDATES: Final = 3
CANDIDATE_STAGGER_S: Final = 1.0
# A VM that has just become live may not know the others yet and would take itself for the first.
CANDIDATE_DELAY_S: Final = 2.0

REPORT_TICK_S: Final = 0.1
# Part of the calls per second that the deployment allows that this duty uses.
CALL_RATE_FRACTION: Final = 0.2
MIN_BACKOFF_S: Final = 0.3
MAX_BACKOFF_S: Final = 2.0
