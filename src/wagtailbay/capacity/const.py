"""Constants of the capacity slice."""

from typing import Final

# A VM counts as high-capacity from this fraction of the largest processor and of the fastest link
# of the fleet. In a fleet of equal VMs, all of them do.
HIGH_CAPACITY_FRACTION: Final = 0.5
# Largest number that a setting may state, in cores or Mbit/s.
MAX_CAPACITY: Final = 1_000_000.0
