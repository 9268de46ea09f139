"""Read the clocks; decisions take the time as an argument instead."""

import time


def boottime_s() -> float:
    """Return seconds since boot, counted also while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return the wall-clock time, for records and document deadlines only."""
    return time.time()
