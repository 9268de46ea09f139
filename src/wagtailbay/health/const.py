"""Constants of the health slice."""

from typing import Final

TARGET_REPORT_KIND: Final = "target_report"
PROBE_INTERVAL_S: Final = 1.0
# Spreads the probes of different VMs; the mean interval stays the same.
PROBE_JITTER: Final = 0.2
PROBE_TIMEOUT_MS: Final = 500
PROBERS_PER_TARGET: Final = 2
PROBE_TAKEOVER_DELAY_S: Final = 3.0
ASSIGNMENT_INTERVAL_S: Final = 0.5
# A report is published again after half of this, so it outlives one lost message.
REPORT_TTL_MS: Final = 4_000
# One lost probe answer is no reason to take a target out.
PROBE_FAILURE_THRESHOLD: Final = 2
# A change of load by less than this part of the slots changes no reader's choice.
SIGNIFICANT_LOAD_CHANGE: Final = 0.25
# Reported load loses half of its weight in this time. In the steering trial at 90% load, 1 s gave
# 43 to 119 shed answers in 5,000, 0.5 s 29 to 31 and 0.25 s 10 to 12.
LOAD_HALF_LIFE_S: Final = 0.25
# Readers rebuild their index of reports at most this often.
INDEX_INTERVAL_S: Final = 0.2
MAX_REPORTED_VALUE: Final = 1_000_000
MAX_PROBE_BODY_BYTES: Final = 16_384
MAX_VERSION_LENGTH: Final = 64

CONNECT_FAILURE_THRESHOLD: Final = 3
TIMEOUT_THRESHOLD: Final = 3
SHED_THRESHOLD: Final = 5
INITIAL_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 60.0
# A target that stayed in for this long after an ejection starts again with the first term.
EJECTION_RESET_S: Final = 120.0
# Sheds can mean that the whole service is overloaded, so they take out at most this part of it.
MAX_SHED_EJECTION_RATIO: Final = 0.5
