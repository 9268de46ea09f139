"""Bounds of the checked properties, as stated in design.md, section 1.1."""

from typing import Final

# The "within seconds" bound for withdrawn keys, drained targets, revisions and bad versions.
PROPAGATION_BOUND_S: Final = 6.0
# Rates are checked over sliding windows of these lengths.
WINDOW_LENGTHS_S: Final = (0.5, 1.0, 2.0, 5.0, 10.0, 60.0)
PPM: Final = 1_000_000
# The "small share": a bad version's bad responses divided by all responses of the service.
MAX_BAD_RESPONSE_SHARE: Final = 0.1
# A version counts as detectably bad after this many bad responses.
BAD_RESPONSES_TO_DETECT: Final = 10
# A response that takes longer is slow; the good version in the scenario needs 30 ms.
SLOW_RESPONSE_S: Final = 0.3
# Each VM may attribute this many slow responses of a new version to a cold cache.
COLD_CACHE_RESPONSES_PER_VM: Final = 10
# A region's "requests/s" allow a burst of one second's worth.
REGION_BURST_S: Final = 1.0
# A crashing request is refused after two crashes; a third attempt may already be in flight.
MAX_CRASHES: Final = 3
# Other requests that ran on the crashed targets may be held back for this long.
QUARANTINE_HOLD_S: Final = 5.0
