"""Bounds of the specification; each comes from design.md, section 1.1."""

from typing import Final

# "Within seconds" for withdrawn keys, leaving targets, configurations and bad versions.
PROPAGATION_BOUND_S: Final = 6.0
# Lengths of the windows in which rates are counted.
WINDOW_LENGTHS_S: Final = (0.5, 1.0, 2.0, 5.0, 10.0, 60.0)
PPM: Final = 1_000_000
# "A small share" of a bad version: its bad answers through all answers of the service.
MAX_BAD_RESPONSE_SHARE: Final = 0.1
# A version has shown that it is bad after this many bad answers.
BAD_RESPONSES_TO_DETECT: Final = 10
# An answer above this time is slow; the good version of the scene needs 30 ms.
SLOW_RESPONSE_S: Final = 0.3
# Each VM may blame a cold cache for this many slow answers of a new version.
COLD_CACHE_RESPONSES_PER_VM: Final = 10
# "requests/s" of a region: up to one second's worth at once.
REGION_BURST_S: Final = 1.0
# A request that crashes its targets is refused after two crashes; a third may have been on its way.
MAX_CRASHES: Final = 3
# Requests that crashed the same targets as a guilty one are held for 5 s.
QUARANTINE_HOLD_S: Final = 5.0
