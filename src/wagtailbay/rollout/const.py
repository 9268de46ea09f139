"""Constants of the rollout slice."""

from typing import Final

ROLLOUT_PREFIX: Final = "rollouts/"
EVIDENCE_KIND: Final = "rollout_evidence"
VERDICT_KIND: Final = "stop_rollout"
EVIDENCE_TTL_MS: Final = 5_000
VERDICT_TTL_MS: Final = 600_000
RECONCILE_INTERVAL_S: Final = 0.25
# The new version gets this share until the ramp begins, well below the tenth of all requests that
# a bad version may get.
CANARY_SHARE: Final = 0.06
# The ramp lies between these parts of the time that the order gives, and the end comes before the
# deadline with time for the last requests of the old version and for the write.
RAMP_START_FRACTION: Final = 0.55
RAMP_END_FRACTION: Final = 0.78
# The first requests go to a new version only after its targets have ceased to be cold.
START_DELAY_S: Final = 0.5
# Bad answers of the new version without which it is not called bad.
MIN_FAILURES: Final = 4
# Its share of bad answers must exceed the old one's by this factor and this much.
FAILURE_RATE_FACTOR: Final = 3.0
FAILURE_RATE_MARGIN: Final = 0.08
# Counts of a VM fade, so that a version that becomes bad late is told from its past.
EVIDENCE_HALF_LIFE_S: Final = 4.0
# The VM at place n among the live ones writes n times this later than the first.
WRITER_STAGGER_S: Final = 0.8
# The end is written at the latest this long before the deadline, even if a VM has not told that
# it has left the old version.
COMPLETION_MARGIN_S: Final = 0.8
