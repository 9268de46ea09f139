"""Constants of health checking."""

from typing import Final

TARGET_REPORT_KIND: Final = "target_report"
PROBE_INTERVAL_S: Final = 1.0
# Relative jitter that spreads out the probes of different VMs; the mean interval is unchanged.
PROBE_JITTER: Final = 0.2
PROBE_TIMEOUT_MS: Final = 500
PROBERS_PER_TARGET: Final = 2
PROBE_TAKEOVER_DELAY_S: Final = 3.0
ASSIGNMENT_INTERVAL_S: Final = 0.5
# Reports are republished after half of this time, so that a single lost message doesn't expire
# them.
REPORT_TTL_MS: Final = 4_000
# A single lost probe response must not mark a target as failed.
PROBE_FAILURE_THRESHOLD: Final = 2
# A load change of a smaller fraction of the slots doesn't affect target selection.
SIGNIFICANT_LOAD_CHANGE: Final = 0.25
# Reported load loses half of its weight in this time. In the steering trial at 90% load, 1 s led
# to 43 to 119 shed responses in 5,000, 0.5 s to 29 to 31, and 0.25 s to 10 to 12.
LOAD_HALF_LIFE_S: Final = 0.25
# Minimum time between rebuilds of the report index, unless this VM has published a fact.
INDEX_INTERVAL_S: Final = 0.2
MAX_REPORTED_VALUE: Final = 1_000_000
MAX_PROBE_BODY_BYTES: Final = 16_384
MAX_VERSION_LENGTH: Final = 64

CONNECT_FAILURE_THRESHOLD: Final = 3
TIMEOUT_THRESHOLD: Final = 3
SHED_THRESHOLD: Final = 5
INITIAL_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 60.0
# The next ejection lasts only the initial duration if the last one ended longer ago than this.
EJECTION_RESET_S: Final = 120.0
# Sheds can mean that the whole service is overloaded, so they eject at most this fraction of it.
MAX_SHED_EJECTION_RATIO: Final = 0.5
