"""Constants of the registry slice."""

from typing import Final

TARGET_PREFIX: Final = "targets/"
EVACUATION_PREFIX: Final = "evacuations/"
# Entries that expired during a store outage are restored within about 2 s after it.
EXPIRED_ENTRY_GRACE_S: Final = 2.5
# A removal within this time after a store failure may be an expiry and not the end of the target.
OUTAGE_EXPIRY_WINDOW_S: Final = 4.0
LEAVING_KIND: Final = "target_leaving"
# How long VMs remember that a run of a target is leaving, far longer than any drain.
LEAVING_RETENTION_S: Final = 600.0
# If the store still lists the target as ready after this time, the other VMs are told. Usually the
# store tells them first, and many VMs hear it from the target itself.
LEAVING_ANNOUNCE_DELAY_S: Final = 0.5
# Added to the cold time that a target reports, to allow for the age of the report.
COLD_MARGIN_S: Final = 0.5
