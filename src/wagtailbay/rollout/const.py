"""Constants of the rollout slice."""

from typing import Final

ROLLOUT_PREFIX: Final = "rollouts/"
EVIDENCE_KIND: Final = "rollout_evidence"
VERDICT_KIND: Final = "stop_rollout"
EVIDENCE_TTL_MS: Final = 5_000
VERDICT_TTL_MS: Final = 600_000
RECONCILE_INTERVAL_S: Final = 0.25
# Share of the new version until the ramp starts, as a fraction of the share of all requests that a
# failing version may receive.
CANARY_EXPOSURE_FRACTION: Final = 0.6
# Start and end of the ramp as fractions of the order's duration. The rest leaves time for the last
# requests on the old version and for writing the phase before the deadline.
RAMP_START_FRACTION: Final = 0.55
RAMP_END_FRACTION: Final = 0.78
# No request goes to a new version before this time, while its targets are still cold.
START_DELAY_S: Final = 0.5
# Minimum number of failures before the new version is considered failing.
MIN_FAILURES: Final = 4
# The new version's failure rate must exceed the old one's by this factor and by this margin.
FAILURE_RATE_FACTOR: Final = 3.0
FAILURE_RATE_MARGIN: Final = 0.08
# Counts decay, so that a late failure is not hidden by earlier successful answers.
EVIDENCE_HALF_LIFE_S: Final = 4.0
# The VM at position n of the write order waits n times this before it writes a phase.
WRITER_STAGGER_S: Final = 0.8
# Completion is written this long before the deadline, even if a VM has not confirmed that it no
# longer uses the old version.
COMPLETION_MARGIN_S: Final = 0.8
# An order that the store lost by coming back from an older copy is written again within this time.
LOST_ORDER_RETURN_S: Final = 5.0
