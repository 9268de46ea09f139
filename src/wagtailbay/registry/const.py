"""Constants of the registry slice."""

from typing import Final

TARGET_PREFIX: Final = "targets/"
EVACUATION_PREFIX: Final = "evacuations/"
# After an outage of the store, entries that lapsed meanwhile are back within about 2 s.
EXPIRED_ENTRY_GRACE_S: Final = 2.5
# A removal seen within this time of an outage may be a lapse, and not the end of the target.
OUTAGE_EXPIRY_WINDOW_S: Final = 4.0
# A target stays cold for this much longer than it says, for the age of what it said.
COLD_MARGIN_S: Final = 0.5
